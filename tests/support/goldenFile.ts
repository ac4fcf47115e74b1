/** Comparison with golden files; UPDATE_GOLDEN=1 writes them anew. */
import fs from 'node:fs';
import path from 'node:path';
import {expect} from 'chai';

const goldenFolder = new URL('../../../tests/golden/', import.meta.url)
  .pathname;

/** Asserts that a text equals the golden file of a name. */
export function expectGolden(name: string, actual: string): void {
  const file = path.join(goldenFolder, name);
  if (process.env.UPDATE_GOLDEN) fs.writeFileSync(file, actual);
  expect(actual).to.equal(fs.readFileSync(file, 'utf8'));
}

/** What a normalizer replaces. */
export interface NormalizerRule {
  name: string;
  pattern: RegExp;
  /** False: all values become the same, e.g. times that may or may not differ. */
  numbered?: boolean;
}

/**
 * Replaces what differs between runs by names in the order of appearance, so
 * that equal values stay equal.
 *
 * @example
 * const normalize = createNormalizer([{name: 'id', pattern: uuidPattern}]);
 */
export function createNormalizer(
  rules: readonly NormalizerRule[],
): (text: string) => string {
  const known = new Map<string, string>();
  const counts = new Map<string, number>();
  return text =>
    rules.reduce(
      (result, {name, pattern, numbered = true}) =>
        result.replaceAll(pattern, value => {
          if (!numbered) return `<${name}>`;
          const key = `${name} ${value}`;
          const existing = known.get(key);
          if (existing) return existing;
          const count = (counts.get(name) ?? 0) + 1;
          counts.set(name, count);
          const replacement = `<${name} ${count}>`;
          known.set(key, replacement);
          return replacement;
        }),
      text,
    );
}
