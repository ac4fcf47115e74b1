/** Changes the priority of a running request at its engine. */
import type {EngineConnections} from './engineConnections.js';

/** A slower change is abandoned; the next renewal brings a new one. */
const priorityTimeoutMs = 1_000;

/** Sends a new priority. Failures are ignored, as they only cost efficiency. */
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
      signal: AbortSignal.timeout(priorityTimeoutMs),
    });
    await response.body.dump();
  } catch {
    // The engine or its connection failed; the stream detects that itself.
  }
}
