/** Knowledge of whether a request ran on a backend server. */
export enum Outcome {
  /** Proven: no byte of the request reached a backend server. */
  NotRun = 'notRun',
  /** Bytes were or may have been sent, and no complete answer was received. */
  MayHaveRun = 'mayHaveRun',
  /** A complete answer was received. */
  Ran = 'ran',
  /** Only a part of the answer was passed on to the caller. */
  Partial = 'partial',
}
