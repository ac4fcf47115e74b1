/** HTTP route that tells callers which gateways to use. */
import type {Context} from 'hono';
import {CallerHeader} from '../protocol/callerApi.js';
import type {AddressAnswers} from './addressAnswers.js';
import {buildRefusalResponse} from './refusalResponse.js';
import type {CallerRequest, RequestReader} from './requestReader.js';

/** Answers `GET /v1/addresses`. */
export class AddressRoute {
  constructor(
    private readonly reader: RequestReader,
    private readonly addresses: Pick<AddressAnswers, 'build'>,
  ) {}

  handle(c: Context, {requestId, headers}: CallerRequest): Response {
    const customer = this.reader.authenticate(headers);
    if (customer.isErr()) {
      return buildRefusalResponse(requestId, customer.error);
    }
    const answer = this.addresses.build(
      customer.value.customerId,
      c.req.query('zone'),
    );
    if (answer.isErr()) return buildRefusalResponse(requestId, answer.error);
    c.header(CallerHeader.RequestId, requestId);
    return c.json(answer.value);
  }
}
