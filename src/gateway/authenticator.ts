/** Tells callers apart by their key. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {Configuration, Customer} from '../config/configuration.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';

/** A caller whose key was checked. */
export interface AuthenticatedCustomer {
  customerId: string;
  customer: Customer;
}

// Compared when the customer is unknown, so that the time doesn't tell.
const unknownKeyHash = createHash('sha256').update('unknown').digest();

/**
 * Checks an `Authorization: Bearer <customerId>.<secret>` header.
 *
 * @example
 * authenticate('Bearer museum-1.s3cret', configuration)
 */
export function tryAuthenticate(
  header: string | undefined,
  configuration: Configuration,
): Result<AuthenticatedCustomer, Refusal> {
  const [, text = ''] = /^Bearer (\S+)$/.exec(header ?? '') ?? [];
  const {customerId, secret} = splitKey(text, configuration);
  const customer = Object.hasOwn(configuration.customers, customerId)
    ? configuration.customers[customerId]
    : undefined;
  const expected = customer
    ? Buffer.from(customer.keySha256, 'hex')
    : unknownKeyHash;
  const shown = createHash('sha256').update(secret).digest();
  if (timingSafeEqual(shown, expected) && customer) {
    return ok({customerId, customer});
  }
  return err(
    new Refusal(
      RefusalReason.BadKey,
      Outcome.NotRun,
      'the key is missing or wrong',
    ),
  );
}

/** Customer ids may contain dots; the longest one that exists counts. */
function splitKey(
  text: string,
  {customers}: Configuration,
): {customerId: string; secret: string} {
  let end = text.lastIndexOf('.');
  while (end > 0 && !Object.hasOwn(customers, text.slice(0, end))) {
    end = text.lastIndexOf('.', end - 1);
  }
  if (end <= 0) return {customerId: '', secret: text};
  return {customerId: text.slice(0, end), secret: text.slice(end + 1)};
}
