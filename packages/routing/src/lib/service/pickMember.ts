import type { RandomSource } from '@buckthornslip/common';

import type { TrackedMember } from '../members/TrackedMember';

/** Tells whether a member may be chosen for a call. */
type Filter = (tracked: TrackedMember) => boolean;

/** Returns a negative number if the first member is the better choice, 0 if both are equal. */
type Compare = (left: TrackedMember, right: TrackedMember) => number;

function sampleTwo(list: readonly TrackedMember[], random: RandomSource): readonly TrackedMember[] {
  if (list.length <= 2) return list;
  const first = random.nextInteger(list.length);
  const second = (first + 1 + random.nextInteger(list.length - 1)) % list.length;
  return [list[first]!, list[second]!];
}

function lessLoaded(
  pair: readonly TrackedMember[],
  compare: Compare,
  random: RandomSource,
): TrackedMember | undefined {
  const [left, right] = pair;
  if (!left || !right) return left;
  const difference = compare(left, right);
  // Ties are broken at random, so that equal members are chosen equally often.
  if (difference === 0) return random.nextInteger(2) === 0 ? left : right;
  return difference < 0 ? left : right;
}

/**
 * Power of two choices: picks the less loaded of two random members. Only if neither of the two may be chosen, two of
 * all allowed members are compared.
 *
 * @param list - Members of one locality.
 * @param isAllowed - Filter for this call.
 * @param compare - Comparison of two members for this call.
 * @param random - Source of randomness.
 * @returns The chosen member; undefined if none is allowed.
 * @internal
 */
export function pickMember(
  list: readonly TrackedMember[],
  isAllowed: Filter,
  compare: Compare,
  random: RandomSource,
): TrackedMember | undefined {
  const sampled = sampleTwo(list, random).filter(isAllowed);
  if (sampled.length > 0 || list.length <= 2) return lessLoaded(sampled, compare, random);
  return lessLoaded(sampleTwo(list.filter(isAllowed), random), compare, random);
}
