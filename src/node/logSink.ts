/** Non-blocking output of log lines to standard output. */
import loglevel from 'loglevel';
import {waitFor} from './delay.js';
import {LogLevel} from './log.js';

/** Bytes buffered for a slow reader; further lines are dropped. */
const maxBufferedBytes = 262_144;
/**
 * Log lines written in one second. A router writes about 150 lines/s at
 * 100 requests/s. Further lines are only counted, and the count is logged.
 */
const maxLinesPerSecond = 400;
/**
 * Lines of errors that are written in one second beyond `maxLinesPerSecond`. A
 * process that ends because of an error logs the cause while it is busiest.
 */
const maxErrorLinesPerSecond = 20;
const secondMs = 1_000;
/** Longest wait for a slow reader when the process exits. */
const closeTimeoutMs = 200;

/** Counts of log lines, for metrics. */
export interface LogSinkCounts {
  written: number;
  /** Lost because the reader was too slow or had closed the pipe. */
  dropped: number;
  /** Not written because of the limit on lines per second. */
  suppressed: number;
}

/** Destination of the log lines. */
export interface LogSink {
  readonly counts: Readonly<LogSinkCounts>;
  /** Flushes the buffer, with a short timeout for a slow reader. */
  close(): Promise<void>;
}

/**
 * Redirects all output of loglevel to standard output through a bounded buffer.
 * Lines that a pipe or socket can't take at once are kept in memory.
 *
 * @example
 * const sink = openLogSink();
 * await sink.close();
 */
export function openLogSink(): LogSink {
  const counts: LogSinkCounts = {written: 0, dropped: 0, suppressed: 0};
  const {stdout} = process;
  // Without a listener an EPIPE error would end the process.
  stdout.on('error', () => (counts.dropped += 1));
  let secondEndsAtMs = 0;
  let lines = 0;
  let errorLines = 0;
  let suppressedInSecond = 0;
  const write = (line: string) => {
    if (stdout.writableLength > maxBufferedBytes) {
      counts.dropped += 1;
      return;
    }
    counts.written += 1;
    stdout.write(`${line}\n`);
  };
  const startSecond = (nowMs: number) => {
    secondEndsAtMs = nowMs + secondMs;
    lines = 0;
    errorLines = 0;
    if (suppressedInSecond === 0) return;
    write(formatSuppressed(suppressedInSecond));
    suppressedInSecond = 0;
  };
  loglevel.methodFactory = level => (line: unknown) => {
    const nowMs = performance.now();
    if (nowMs >= secondEndsAtMs) startSecond(nowMs);
    lines += 1;
    const isError = level === LogLevel.Error;
    if (isError) errorLines += 1;
    if (
      lines <= maxLinesPerSecond ||
      (isError && errorLines <= maxErrorLinesPerSecond)
    ) {
      write(String(line));
      return;
    }
    suppressedInSecond += 1;
    counts.suppressed += 1;
  };
  loglevel.setLevel(loglevel.getLevel(), false);
  const close = async () => {
    if (stdout.writableLength === 0) return;
    const written = new AbortController();
    stdout.once('drain', () => written.abort());
    await waitFor(closeTimeoutMs, written.signal);
  };
  return {counts, close};
}

function formatSuppressed(count: number): string {
  const time = new Date().toISOString();
  return JSON.stringify({time, level: 'warn', event: 'lines left out', count});
}
