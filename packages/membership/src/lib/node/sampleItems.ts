import type { RandomSource } from '@buckthornslip/common';

/**
 * @param list - Items.
 * @param count - Maximum number of items.
 * @param random - Source of randomness.
 * @returns A random sample without replacement.
 * @internal
 */
export function sampleItems<Item>(
  list: readonly Item[],
  count: number,
  random: RandomSource,
): readonly Item[] {
  const rest = [...list];
  const sample: Item[] = [];
  while (sample.length < count && rest.length > 0) {
    sample.push(...rest.splice(random.nextInteger(rest.length), 1));
  }
  return sample;
}
