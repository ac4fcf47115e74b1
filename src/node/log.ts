/** Structured logs: one JSON object a line, through loglevel. */
import loglevel from 'loglevel';

/** Members of a log line; never prompt text or keys. */
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

const redacted = '[redacted]';
/** Secrets as they look in a JSON string. */
const secrets = new Set<string>();

/**
 * Keeps a secret out of all log lines, also where it is a part of a message,
 * e.g. in the error of a library.
 */
export function addLogSecret(secret: string): void {
  const text = JSON.stringify(secret).slice(1, -1);
  if (text !== '') secrets.add(text);
}

/** Writes log lines that all carry the same fields. */
export class Log {
  constructor(private readonly fields: LogFields) {}

  /**
   * Returns a log whose lines carry more fields.
   *
   * @example
   * const requestLog = log.with({requestId, class: className});
   */
  with(fields: LogFields): Log {
    return new Log({...this.fields, ...fields});
  }

  /** Writes a line of level "debug". */
  noteDebug(event: string, fields: LogFields = {}): void {
    loglevel.debug(this.format('debug', event, fields));
  }

  /** Writes a line of level "info". */
  note(event: string, fields: LogFields = {}): void {
    loglevel.info(this.format('info', event, fields));
  }

  /** Writes a line of level "warn". */
  warn(event: string, fields: LogFields = {}): void {
    loglevel.warn(this.format('warn', event, fields));
  }

  /** Writes a line of level "error". */
  raise(event: string, fields: LogFields = {}): void {
    loglevel.error(this.format('error', event, fields));
  }

  private format(level: string, event: string, fields: LogFields): string {
    const time = new Date().toISOString();
    const line = {...this.fields, ...fields, time, level, event};
    let text = JSON.stringify(line);
    for (const secret of secrets) text = text.replaceAll(secret, redacted);
    return text;
  }
}

/** Sets the lowest level that is written, also while running. */
export function setLogLevel(level: LogLevel): void {
  loglevel.setLevel(level, false);
}

/** Returns the lowest level that is written. */
export function getLogLevel(): string {
  return loglevel.levels.TRACE === loglevel.getLevel()
    ? LogLevel.Trace
    : (Object.values(LogLevel)[loglevel.getLevel()] ?? 'silent');
}
