/** Faults that can be injected into the plain service stand-in. */
import {z} from 'zod';
import {millisecondsSchema} from './options.js';
import {SilenceScope} from './standinServer.js';

export enum ServiceFaultKind {
  /** Closes the connection without running the request. */
  DropBeforeRun = 'dropBeforeRun',
  /** Runs the request, then closes the connection without an answer. */
  DropAfterRun = 'dropAfterRun',
  /** Runs the request, then answers after `delayMs`. */
  DelayAnswer = 'delayAnswer',
  /** Answers with status 500 without running the request. */
  Status500BeforeRun = 'status500BeforeRun',
  /** Runs the request, then answers with status 500. */
  Status500AfterRun = 'status500AfterRun',
  /**
   * Holds the request back until the faults are replaced, then runs it even if
   * the client has disconnected, as a paused process would.
   */
  Freeze = 'freeze',
}

export const serviceFaultSchema = z.strictObject({
  kind: z.enum(ServiceFaultKind),
  /** Remaining number of requests to affect; unlimited if omitted. */
  requests: z.number().int().nonnegative().optional(),
  delayMs: millisecondsSchema.default(1_000),
});
export type ServiceFault = z.output<typeof serviceFaultSchema>;
export type ServiceFaultInput = z.input<typeof serviceFaultSchema>;

/** Body of `POST /control`; omitted fields are unchanged. */
export const serviceControlSchema = z.strictObject({
  /** Replaces all faults; each request gets the first that is not used up. */
  faults: z.array(serviceFaultSchema).optional(),
  /** Factor on the service time. */
  slowFactor: z.number().positive().optional(),
  silence: z.enum(SilenceScope).optional(),
});

/** Assigns faults to incoming requests. */
export class ServiceFaults {
  private faults: ServiceFault[] = [];
  private readonly resumeCallbacks = new Set<() => void>();

  /** Replaces all faults and resumes frozen requests. */
  replace(faults: readonly ServiceFaultInput[]): void {
    this.faults = faults.map(fault => serviceFaultSchema.parse(fault));
    for (const resume of this.resumeCallbacks) resume();
    this.resumeCallbacks.clear();
  }

  /** Returns the fault of the next request and counts it as used. */
  take(): ServiceFault | undefined {
    const fault = this.faults.find(({requests}) => requests !== 0);
    if (fault?.requests !== undefined) fault.requests -= 1;
    return fault;
  }

  /** Resolves when the faults are replaced. */
  async waitForReplacement(): Promise<void> {
    await new Promise<void>(resolve => this.resumeCallbacks.add(resolve));
  }

  /** Returns the current faults with their remaining counts. */
  list(): ServiceFault[] {
    return this.faults;
  }
}
