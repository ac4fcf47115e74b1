/** Prefixes of operation keys: only their issuer runs operations under them. */
import {createHmac, hkdfSync, randomBytes, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';

/** Time for which a prefix accepts operations, in milliseconds. */
export const prefixLifeMs = 15 * 60_000;

const prefixPayloadSchema = z.object({
  /** Incarnation of the gateway that runs the operations. */
  issuer: z.string(),
  /** Peer address of the issuer. */
  peerAddress: z.string(),
  customerId: z.string(),
  expiresAtMs: z.number(),
  /** Tells prefixes of the same millisecond apart. */
  nonce: z.string(),
});
export type PrefixPayload = z.infer<typeof prefixPayloadSchema>;

/** An operation key whose prefix was checked. */
export interface OperationKey extends PrefixPayload {
  /** The whole key as the caller gave it. */
  text: string;
}

const nonceBytes = 9;
const keyPattern = /^([A-Za-z0-9_-]+)~([A-Za-z0-9_-]+)\.([A-Za-z0-9_-]{1,64})$/;

/** Seals and checks prefixes with a key derived from the peer key. */
export class PrefixSealer {
  private readonly sealKey: Buffer;

  constructor(peerKey: string) {
    this.sealKey = Buffer.from(
      hkdfSync('sha256', peerKey, '', 'anvilstall operation prefix', 32),
    );
  }

  /** Creates a prefix; a caller appends `.` and a suffix of its own. */
  seal(payload: Omit<PrefixPayload, 'nonce'>): string {
    const nonce = randomBytes(nonceBytes).toString('base64url');
    const text = Buffer.from(JSON.stringify({...payload, nonce})).toString(
      'base64url',
    );
    return `${text}~${this.sign(text).toString('base64url')}`;
  }

  /**
   * Checks an operation key of a customer.
   *
   * @example
   * sealer.parse(`${sealer.seal(payload)}.reorder-42`, payload.customerId)
   */
  parse(key: string, customerId: string): Result<OperationKey, Refusal> {
    const match = keyPattern.exec(key);
    if (!match) return err(buildInvalidKeyRefusal());
    const [, text, seal] = match;
    const shown = Buffer.from(seal, 'base64url');
    const expected = this.sign(text);
    const sealed =
      shown.length === expected.length && timingSafeEqual(shown, expected);
    if (!sealed) return err(buildInvalidKeyRefusal());
    // The seal proves that a gateway of this fleet wrote the payload.
    const payload = prefixPayloadSchema.safeParse(
      JSON.parse(Buffer.from(text, 'base64url').toString()),
    );
    if (!payload.success || payload.data.customerId !== customerId) {
      return err(buildInvalidKeyRefusal());
    }
    return ok({...payload.data, text: key});
  }

  private sign(text: string): Buffer {
    return createHmac('sha256', this.sealKey).update(text).digest();
  }
}

function buildInvalidKeyRefusal(): Refusal {
  return new Refusal(
    RefusalReason.OperationKeyInvalid,
    Outcome.NotRun,
    'the operation key has no valid prefix of this customer',
  );
}
