/** What is known about whether a request ran on a backend server. */
export enum Outcome {
  /** Proven: no byte of the request reached a backend server. */
  NotRun = 'notRun',
  /** Bytes were sent, or may have been sent, and no whole answer came back. */
  MayHaveRun = 'mayHaveRun',
  /** A whole answer came back. */
  Ran = 'ran',
  /** A part of the answer was passed on to the caller. */
  Partial = 'partial',
}
