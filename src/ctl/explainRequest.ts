/** Reconstructs the timeline of one request from the logs of several VMs. */
import {readLogLines, type LogLine} from './logLines.js';
import {finalEvents} from './requestStatistics.js';

/** Events that change a process's state or view, shown as context. */
const contextEvents = new Set([
  'started',
  'leaving',
  'stopped',
  'settings reloaded',
  'deployment adopted',
  'server view read',
  'server view adopted',
  'platform reachable',
  'platform not reachable',
]);
/** Context is shown from this time before the request's first line, in ms. */
const contextBeforeMs = 5_000;
/**
 * Event of a request that an internal error of the daemon ended. It is final,
 * but has no entry in `finalEvents`.
 */
const internalErrorEvent = 'request failed';

export interface RequestTimeline {
  readonly requestId: string;
  /** Log lines of the request in chronological order. */
  readonly lines: readonly LogLine[];
  /** State changes on the same VMs shortly before and during the request. */
  readonly context: readonly LogLine[];
  /** Signs that the timeline is incomplete; empty when there are none. */
  readonly gaps: readonly string[];
}

/**
 * Collects the log lines of a request and the state changes around it.
 *
 * @example
 * explainRequest('9c41d07be2a35f68', fs.readFileSync('vm-1.log', 'utf8').split('\n'))
 */
export function explainRequest(
  requestId: string,
  texts: Iterable<string>,
): RequestTimeline {
  const all = readLogLines(texts);
  const lines = all.filter(line => line.requestId === requestId);
  const vms = new Set(lines.map(line => line.vm));
  const firstAtMs = Date.parse(lines[0]?.time ?? '') - contextBeforeMs;
  const lastAtMs = Date.parse(lines.at(-1)?.time ?? '');
  const isNear = (line: LogLine) => {
    const atMs = Date.parse(line.time);
    return atMs >= firstAtMs && atMs <= lastAtMs;
  };
  const context = all.filter(
    line => contextEvents.has(line.event) && vms.has(line.vm) && isNear(line),
  );
  const leftOut = all.filter(
    line => line.event === 'lines left out' && isNear(line),
  );
  return {
    requestId,
    lines,
    context,
    gaps: listGaps(lines, leftOut),
  };
}

function listGaps(
  lines: readonly LogLine[],
  leftOut: readonly LogLine[],
): string[] {
  const gaps: string[] = [];
  if (lines.length === 0) gaps.push('no log line has this request id');
  else if (!lines.some(({event}) => isFinal(event))) {
    gaps.push('no log line says how the request ended');
  }
  for (const line of leftOut) {
    gaps.push(`${line.count ?? 'some'} lines left out before ${line.time}`);
  }
  return gaps;
}

function isFinal(event: string): boolean {
  return finalEvents.has(event) || event === internalErrorEvent;
}
