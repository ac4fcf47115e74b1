/** A caller's request on its way to a backend server. */
import type {CallerExchange} from './callerExchange.js';
import type {Route} from './deployment.js';

/** A request with everything that its attempts need. */
export interface ForwardedRequest {
  readonly exchange: CallerExchange;
  readonly route: Route;
  readonly service: string;
  readonly customer?: string;
  /** Priority at an engine from 0, the most urgent, to 9. */
  readonly urgency: number;
  /** Version of the deployment that the route was taken from. */
  readonly deploymentVersion: number;
  readonly body: Buffer;
  /** Longer answers, or events of a stream, are cut off and fail the attempt. */
  readonly maxAnswerBytes: number;
}
