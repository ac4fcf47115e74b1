/** Structured logging: one JSON object per line, written with loglevel. */
import loglevel from 'loglevel';

/** Fields of a log line. They must never contain prompt text or keys. */
export type LogFields = Record<
  string,
  string | number | boolean | null | undefined
>;

export enum LogLevel {
  Trace = 'trace',
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

const redactedText = '[redacted]';
/** Secrets in the form in which they appear in a JSON string. */
const secrets = new Set<string>();

/**
 * Redacts a secret in all log lines, also inside longer texts such as the error
 * message of a library.
 */
export function addLogSecret(secret: string): void {
  const text = JSON.stringify(secret).slice(1, -1);
  if (text !== '') secrets.add(text);
}

/** Logger that adds a fixed set of fields to each line. */
export class Log {
  constructor(private readonly fields: LogFields) {}

  /**
   * Returns a logger that adds further fields to each line.
   *
   * @example
   * const requestLog = log.with({requestId, class: className});
   */
  with(fields: LogFields): Log {
    return new Log({...this.fields, ...fields});
  }

  logDebug(event: string, fields: LogFields = {}): void {
    loglevel.debug(this.format('debug', event, fields));
  }

  /** Writes a line at level "info". */
  logInfo(event: string, fields: LogFields = {}): void {
    loglevel.info(this.format('info', event, fields));
  }

  warn(event: string, fields: LogFields = {}): void {
    loglevel.warn(this.format('warn', event, fields));
  }

  /** Writes a line at level "error". */
  logError(event: string, fields: LogFields = {}): void {
    loglevel.error(this.format('error', event, fields));
  }

  private format(level: string, event: string, fields: LogFields): string {
    const time = new Date().toISOString();
    const line = {...this.fields, ...fields, time, level, event};
    let text = JSON.stringify(line);
    for (const secret of secrets) text = text.replaceAll(secret, redactedText);
    return text;
  }
}

/** Sets the lowest level that is written; takes effect at once. */
export function setLogLevel(level: LogLevel): void {
  loglevel.setLevel(level, false);
}

/** Returns the lowest level that is written. */
export function getLogLevel(): string {
  return loglevel.levels.TRACE === loglevel.getLevel()
    ? LogLevel.Trace
    : (Object.values(LogLevel)[loglevel.getLevel()] ?? 'silent');
}

/**
 * Formats a value that was thrown, with its stack if it has one.
 *
 * @example
 * log.logError('datagram failed', {error: formatError(error)});
 */
export function formatError(error: unknown): string {
  return error instanceof Error
    ? (error.stack ?? error.message)
    : String(error);
}
