/** Calls from one gateway to another. */
import {err, ok, type Result} from 'neverthrow';
import type {PeerLinks} from '../node/peerLinks.js';
import {PeerError} from '../protocol/errors.js';
import {
  operationResultSchema,
  type ExecuteOperation,
  type OperationResult,
  type TakeOver,
} from '../protocol/operationMessages.js';

/** Calls to other gateways, by address (`ip:port`). */
export interface GatewayPeers {
  /** After an error it is unknown whether the operation ran. */
  executeOperation(
    address: string,
    request: ExecuteOperation,
    deadlineMs: number,
  ): Promise<Result<OperationResult, PeerError>>;
  takeOver(
    address: string,
    takeOver: TakeOver,
    deadlineMs: number,
  ): Promise<Result<void, PeerError>>;
}

/** Calls other gateways over peer links. */
export class LinkedGatewayPeers implements GatewayPeers {
  constructor(private readonly links: Pick<PeerLinks, 'callGateway'>) {}

  async executeOperation(
    address: string,
    request: ExecuteOperation,
    deadlineMs: number,
  ): Promise<Result<OperationResult, PeerError>> {
    const answer = await this.links.callGateway(
      address,
      deadlineMs,
      (client, signal) => client.operations.execute.mutate(request, {signal}),
    );
    if (answer.isErr()) return err(answer.error);
    const parsed = operationResultSchema.safeParse(answer.value);
    if (parsed.success) return ok(parsed.data);
    return err(new PeerError(address, 'the answer breaks its schema'));
  }

  async takeOver(
    address: string,
    takeOver: TakeOver,
    deadlineMs: number,
  ): Promise<Result<void, PeerError>> {
    const answer = await this.links.callGateway(
      address,
      deadlineMs,
      (client, signal) => client.operations.takeOver.mutate(takeOver, {signal}),
    );
    return answer.map(() => undefined);
  }
}
