/** What the load driver notes of each request. */
import type {ClassKind} from '../../../src/config/configuration.js';

export enum RequestEnd {
  /** The whole answer came and equals the expected one. */
  Complete = 'complete',
  /** The answer differs from the expected one. */
  WrongAnswer = 'wrongAnswer',
  /** The system answered with a reason and an outcome. */
  Refused = 'refused',
  /** The connection failed, or a stream ended early without a reason. */
  Broken = 'broken',
  /** The caller's deadline passed. */
  GaveUp = 'gaveUp',
  /** Still open when the run ended. */
  Unfinished = 'unfinished',
}

/** Through which way a request went. */
export enum RequestRoute {
  Load = 'load',
  /** A probe of the router's own time, through the router. */
  ProbeRouter = 'probeRouter',
  /** The same probe, sent to the engine itself. */
  ProbeDirect = 'probeDirect',
  /** A second copy of a non-repeatable order. */
  Duplicate = 'duplicate',
}

/** Times are in milliseconds. */
export interface RequestRecord {
  id: string;
  route: RequestRoute;
  className: string;
  kind: ClassKind;
  customerId: string;
  isLong: boolean;
  /** Suffix of the operation key of a non-repeatable order. */
  operationId?: string;
  /** Due time from the start of the run. */
  dueMs: number;
  /** How much later than due the request was sent. */
  latenessMs: number;
  end: RequestEnd;
  /** Reason and outcome of a refusal, or the error of a broken connection. */
  reason?: string;
  outcome?: string;
  /** From the due time to the first token, or to a service's answer. */
  firstTokenMs?: number;
  /** From the due time to the end. */
  totalMs: number;
  /** Tokens that reached the caller. */
  tokens: number;
  /** Times between tokens. */
  gapsMs: number[];
}
