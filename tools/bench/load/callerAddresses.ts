/** Addresses that one customer's caller uses. */
import type {Dispatcher} from 'undici';
import {
  addressAnswerSchema,
  type AddressAnswer,
} from '../../../src/protocol/callerApi.js';
import type {SeededRandom} from '../../../src/standins/seededRandom.js';
import {buildCallerHeaders} from './chatSender.js';

export interface CallerAddressesOptions {
  customerId: string;
  zone: string;
  /** Base URLs of entry VMs that can be asked. */
  entryUrls: string[];
}

/** Asks any entry VM and keeps the answer for its time to live. */
export class CallerAddresses {
  private answer: Promise<AddressAnswer> | undefined;
  private expiresAtMs = 0;

  constructor(
    private readonly client: Dispatcher,
    private readonly random: SeededRandom,
    private readonly options: CallerAddressesOptions,
  ) {}

  /** Returns the answer that holds now. */
  async fetchAnswer(): Promise<AddressAnswer> {
    if (!this.answer || performance.now() >= this.expiresAtMs) {
      this.expiresAtMs = Infinity;
      this.answer = this.requestAnswer();
    }
    return this.answer;
  }

  /** Picks an address; all addresses of the answer are used alike. */
  pickUrl(answer: AddressAnswer): string {
    return this.pickOne(answer.addresses).url;
  }

  private async requestAnswer(): Promise<AddressAnswer> {
    const {customerId, zone, entryUrls} = this.options;
    try {
      const response = await this.client.request({
        origin: this.pickOne(entryUrls),
        path: `/v1/addresses?zone=${zone}`,
        method: 'GET',
        headers: buildCallerHeaders(customerId),
      });
      const answer = addressAnswerSchema.parse(await response.body.json());
      this.expiresAtMs = performance.now() + answer.ttlSeconds * 1_000;
      return answer;
    } catch (error) {
      // The next request asks another entry VM.
      this.expiresAtMs = 0;
      throw error;
    }
  }

  private pickOne<T>(items: readonly T[]): T {
    return items[Math.floor(this.random.draw() * items.length)];
  }
}
