/** Signed prefixes of operation keys, which name the gateway that runs them. */
import {createHmac, hkdfSync, randomBytes, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import {z} from 'zod';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';

/** Time for which new operations can be started under a prefix. */
export const prefixLifetimeMs = 15 * 60_000;

const prefixPayloadSchema = z.object({
  /** Incarnation of the gateway that runs the operations. */
  issuer: z.string(),
  /** Peer address of the issuer. */
  peerAddress: z.string(),
  customerId: z.string(),
  expiresAtMs: z.number(),
  /** Distinguishes prefixes that are created in the same millisecond. */
  nonce: z.string(),
});
export type PrefixPayload = z.infer<typeof prefixPayloadSchema>;

/** An operation key whose prefix was verified. */
export interface OperationKey extends PrefixPayload {
  /** The whole key as the caller gave it. */
  text: string;
}

const nonceBytes = 9;
const keyPattern = /^([A-Za-z0-9_-]+)~([A-Za-z0-9_-]+)\.([A-Za-z0-9_-]{1,64})$/;

/** Signs and verifies prefixes with a key derived from the peer key. */
export class PrefixSigner {
  private readonly signingKey: Buffer;

  constructor(peerKey: string) {
    this.signingKey = Buffer.from(
      hkdfSync('sha256', peerKey, '', 'anvilstall operation prefix', 32),
    );
  }

  /** Creates a signed prefix; callers append `.` and their own suffix. */
  createPrefix(payload: Omit<PrefixPayload, 'nonce'>): string {
    const nonce = randomBytes(nonceBytes).toString('base64url');
    const text = Buffer.from(JSON.stringify({...payload, nonce})).toString(
      'base64url',
    );
    return `${text}~${this.sign(text).toString('base64url')}`;
  }

  /**
   * Verifies an operation key and that its prefix belongs to the customer.
   *
   * @example
   * const prefix = signer.createPrefix(payload);
   * signer.parse(`${prefix}.reorder-42`, payload.customerId)
   */
  parse(key: string, customerId: string): Result<OperationKey, Refusal> {
    const match = keyPattern.exec(key);
    if (!match) return err(buildInvalidKeyRefusal());
    const [, text, encodedSignature] = match;
    const providedSignature = Buffer.from(encodedSignature, 'base64url');
    const expectedSignature = this.sign(text);
    const sealed =
      providedSignature.length === expectedSignature.length &&
      timingSafeEqual(providedSignature, expectedSignature);
    if (!sealed) return err(buildInvalidKeyRefusal());
    // The signature proves that a gateway of this fleet wrote the payload, so
    // it is valid JSON.
    const payload = prefixPayloadSchema.safeParse(
      JSON.parse(Buffer.from(text, 'base64url').toString()),
    );
    if (!payload.success || payload.data.customerId !== customerId) {
      return err(buildInvalidKeyRefusal());
    }
    return ok({...payload.data, text: key});
  }

  private sign(text: string): Buffer {
    return createHmac('sha256', this.signingKey).update(text).digest();
  }
}

function buildInvalidKeyRefusal(): Refusal {
  return new Refusal(
    RefusalReason.OperationKeyInvalid,
    Outcome.NotRun,
    'the operation key has no valid prefix of this customer',
  );
}
