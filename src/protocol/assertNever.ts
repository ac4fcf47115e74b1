/**
 * Marks the unreachable default branch of an exhaustive switch. Compilation
 * fails if a variant is not handled.
 *
 * @example
 * switch (event.kind) {
 *   case LeaseEventKind.Granted: return start(event);
 *   default: return assertNever(event);
 * }
 */
export function assertNever(value: never): never {
  throw new TypeError(`unexpected variant: ${JSON.stringify(value)}`);
}
