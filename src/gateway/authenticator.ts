/** Authenticates callers by the key in their `Authorization` header. */
import {createHash, timingSafeEqual} from 'node:crypto';
import {err, ok, type Result} from 'neverthrow';
import type {Configuration, Customer} from '../config/configuration.js';
import {Outcome} from '../protocol/outcome.js';
import {Refusal, RefusalReason} from '../protocol/refusal.js';

/** A customer whose key was verified. */
export interface AuthenticatedCustomer {
  customerId: string;
  customer: Customer;
}

// Compared when the customer is unknown, so that the response time does not
// reveal which customer ids exist.
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
  const {customerId, secret} = splitBearerToken(text, configuration);
  const customer = Object.hasOwn(configuration.customers, customerId)
    ? configuration.customers[customerId]
    : undefined;
  const expectedHash = customer
    ? Buffer.from(customer.keySha256, 'hex')
    : unknownKeyHash;
  const providedHash = createHash('sha256').update(secret).digest();
  if (timingSafeEqual(providedHash, expectedHash) && customer) {
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

/**
 * Splits `<customerId>.<secret>`. Both parts may contain dots; the longest
 * prefix that is an existing customer id is taken.
 */
function splitBearerToken(
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
