import type { RandomSource } from '@buckthornslip/common';

/**
 * @param list - Items.
 * @param count - Largest number of items to take.
 * @param random - Source of the choice.
 * @returns Distinct random items.
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
