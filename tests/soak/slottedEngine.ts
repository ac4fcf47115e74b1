/** An engine of a backend server that works on a few requests at a time. */
import type {ServerResponse} from 'node:http';

/** Works on a few requests at a time; the others wait in order of arrival. */
export class SlottedEngine {
  private readonly waiting: Array<() => void> = [];

  constructor(private freeSlots: number) {}

  run(response: ServerResponse, work: () => void): void {
    const begin = () => {
      if (response.closed) return this.startNext();
      this.freeSlots -= 1;
      response.once('close', () => {
        this.freeSlots += 1;
        this.startNext();
      });
      work();
    };
    if (this.freeSlots > 0) begin();
    else this.waiting.push(begin);
  }

  private startNext(): void {
    if (this.freeSlots > 0) this.waiting.shift()?.();
  }
}
