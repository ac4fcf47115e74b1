/** What the pace needs to know about backend servers. */

/** Limit on the requests to a server of a service that has just started. */
export interface ColdStart {
  /** Time for which a process is cold after its start, in milliseconds. */
  readonly durationMs: number;
  /** Requests a second that a cold server bears. */
  readonly requestsPerSecond: number;
}

/** Operators' bounds on the requests to cold servers. */
export interface ColdServerBounds {
  /** Allowed ratio of requests to what a cold server bears. */
  readonly overrun: number;
  /** Requests allowed beyond that in any second. */
  readonly slack: number;
}

/** A backend server as the pace sees it. */
export interface PacedServer {
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  readonly host: string;
  readonly port: number;
  /** Start time of the process, by the clock of its VM. */
  readonly startedAt?: number;
  /** Time for which the process is still cold, in milliseconds. */
  readonly warmUpMs: number;
}

/** Formatted processes; they are needed for each candidate of a request. */
const processes = new WeakMap<PacedServer, string>();

/** Identifies a process; a server may restart under its id. */
export function formatPacedProcess(server: PacedServer): string {
  let process = processes.get(server);
  if (process === undefined) {
    const {id, host, port, startedAt} = server;
    process = `${id} ${host}:${port} ${startedAt ?? ''}`;
    processes.set(server, process);
  }
  return process;
}
