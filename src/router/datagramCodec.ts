/** Encoding of the datagrams that routers exchange. */
import {decode, encode} from '@msgpack/msgpack';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {AnvilstallError} from '../protocol/errors.js';
import {
  listReportFields,
  peerReportSchema,
  readReportFields,
  type PeerReport,
} from './peerReport.js';
import {
  listMemberFields,
  listRelayFields,
  readMemberFields,
  readRelayFields,
  relayReportSchema,
  rosterSchema,
  type FleetMember,
  type RelayReport,
} from './relayReport.js';

/** A datagram that is malformed or of another format version. */
export class DatagramError extends AnvilstallError {}

/** Version of the datagram format; increase it with each format change. */
export const formatVersion = 15;

export enum DatagramKind {
  /** Report of a router about itself. */
  Report = 0,
  /** Report of a relay about its members. */
  Relay = 1,
  /**
   * From a relay to its members: its own report, then those of other relays.
   */
  Bundle = 2,
  /** All routers that the sender knows, including itself. */
  Roster = 3,
}

export type Datagram =
  | {kind: DatagramKind.Report; report: PeerReport}
  | {kind: DatagramKind.Relay; report: RelayReport}
  | {kind: DatagramKind.Roster; members: readonly FleetMember[]}
  | {
      kind: DatagramKind.Bundle;
      /** Datagrams of kind `Relay`, each with the host that sent it. */
      parts: Array<[host: string, datagram: Uint8Array]>;
    };

const datagramSchema = z.tuple([
  z.literal(formatVersion),
  z.enum(DatagramKind),
  z.array(z.unknown()),
]);
const bundleSchema = z.array(z.tuple([z.string(), z.instanceof(Uint8Array)]));

/**
 * Encodes a datagram as MessagePack.
 *
 * @example
 * socket.send(encodeDatagram({kind: DatagramKind.Report, report}), port, host);
 */
export function encodeDatagram(datagram: Datagram): Uint8Array {
  return encode([formatVersion, datagram.kind, listFields(datagram)]);
}

function listFields(datagram: Datagram): unknown[] {
  switch (datagram.kind) {
    case DatagramKind.Report:
      return listReportFields(datagram.report);
    case DatagramKind.Relay:
      return listRelayFields(datagram.report);
    case DatagramKind.Bundle:
      return datagram.parts;
    case DatagramKind.Roster:
      return listMemberFields(datagram.members);
  }
}

/** Decodes a datagram and validates its fields. */
export function decodeDatagram(
  bytes: Uint8Array,
): Result<Datagram, DatagramError> {
  let value: unknown;
  try {
    value = decode(bytes);
  } catch (cause) {
    return err(new DatagramError('datagram is not valid MessagePack', {cause}));
  }
  const outer = datagramSchema.safeParse(value);
  if (!outer.success)
    return err(
      new DatagramError('datagram has an unknown version, kind or layout'),
    );
  const [, kind, fields] = outer.data;
  switch (kind) {
    case DatagramKind.Report: {
      const parsed = peerReportSchema.safeParse(fields);
      if (!parsed.success) break;
      return ok({kind, report: readReportFields(parsed.data)});
    }
    case DatagramKind.Relay: {
      const parsed = relayReportSchema.safeParse(fields);
      if (!parsed.success) break;
      return ok({kind, report: readRelayFields(parsed.data)});
    }
    case DatagramKind.Bundle: {
      const parsed = bundleSchema.safeParse(fields);
      if (!parsed.success) break;
      return ok({kind, parts: parsed.data});
    }
    case DatagramKind.Roster: {
      const parsed = rosterSchema.safeParse(fields);
      if (!parsed.success) break;
      return ok({kind, members: readMemberFields(parsed.data)});
    }
  }
  return err(new DatagramError(`malformed ${DatagramKind[kind]} datagram`));
}
