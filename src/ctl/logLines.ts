/** Parses the daemons' JSON log lines from collected log files. */
import {z} from 'zod';

const lineSchema = z.looseObject({
  time: z.string(),
  event: z.string(),
  vm: z.string().optional(),
  requestId: z.string().optional(),
  route: z.string().optional(),
  server: z.string().optional(),
  customer: z.string().optional(),
  /** True if the customer was beyond its share. */
  isBeyondShare: z.boolean().optional(),
  reason: z.string().optional(),
  /** Time since the request arrived, in milliseconds. */
  ms: z.number().optional(),
  firstEventMs: z.number().optional(),
  /** Number of suppressed lines that this line reports. */
  count: z.number().optional(),
});
export type LogLine = z.infer<typeof lineSchema>;

/**
 * Parses log lines and sorts them by time. Text that is not a log line of a
 * daemon is skipped.
 *
 * @example
 * readLogLines(fs.readFileSync('vm-1.log', 'utf8').split('\n'))
 */
export function readLogLines(texts: Iterable<string>): LogLine[] {
  const lines = [...texts].flatMap(parseLine);
  return lines.sort((a, b) => a.time.localeCompare(b.time));
}

function parseLine(text: string): LogLine[] {
  // A log collector may prefix each line with a timestamp or a host name.
  const start = text.indexOf('{');
  if (start < 0) return [];
  try {
    const parsed = lineSchema.safeParse(JSON.parse(text.slice(start)));
    return parsed.success ? [parsed.data] : [];
  } catch {
    return [];
  }
}
