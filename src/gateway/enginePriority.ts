/** Changes the priority of a running request at its engine. */
import type {EngineConnections} from './engineConnections.js';

/** A change that takes longer is given up; the next renewal brings another. */
const changeTimeoutMs = 1_000;

/** Sends a new priority; a failure only costs efficiency. */
export async function sendPriority(
  connections: EngineConnections,
  address: string,
  attemptId: string,
  priority: number,
): Promise<void> {
  const {dispatcher} = connections.open(address);
  try {
    const response = await dispatcher.request({
      method: 'POST',
      path: `/v1/requests/${encodeURIComponent(attemptId)}/priority`,
      headers: {'content-type': 'application/json'},
      body: JSON.stringify({priority}),
      signal: AbortSignal.timeout(changeTimeoutMs),
    });
    await response.body.dump();
  } catch {
    // The engine or its connection is gone; the stream notices that itself.
  }
}
