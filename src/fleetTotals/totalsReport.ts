/** Reports that `FleetTotals` of different routers exchange. */
import {z} from 'zod';

/** What the rows of a report are about. */
export enum TotalsTopic {
  /** Work and time of backend servers, by process. */
  ServerSpeed = 0,
  /** Use of a service by customers. */
  CustomerUsage = 1,
  /** Traffic of callers and processor use, by availability zone. */
  ZoneTraffic = 2,
}

/** A key, then the values to add up for it. All are whole numbers. */
export type TotalsRow = readonly number[];

/** All rows of one topic. */
export interface TopicTotals {
  readonly topic: TotalsTopic;
  readonly rows: readonly TotalsRow[];
}

export const totalsSchema = z.array(
  z.tuple([z.enum(TotalsTopic), z.array(z.array(z.number()).min(1))]),
);

/** Lists the fields of totals in the order of the schema. */
export function listTotalsFields(
  totals: readonly TopicTotals[],
): z.infer<typeof totalsSchema> {
  return totals.map(({topic, rows}) => [topic, rows.map(row => [...row])]);
}

/** The reverse of `listTotalsFields`. */
export function readTotalsFields(
  fields: z.infer<typeof totalsSchema>,
): TopicTotals[] {
  return fields.map(([topic, rows]) => ({topic, rows}));
}
