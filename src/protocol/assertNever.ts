/**
 * Marks a branch of an exhaustive switch that can't be reached.
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
