import type { RandomSource } from '@buckthornslip/common';

import type { TrackedMember } from '../members/TrackedMember';

/** Function that decides whether a tracked may be chosen for a call. */
type Filter = (tracked: TrackedMember) => boolean;

/** Function that gives the load to compare. */
type Score = (tracked: TrackedMember) => number;

function sampleTwo(list: readonly TrackedMember[], random: RandomSource): readonly TrackedMember[] {
  if (list.length <= 2) return list;
  const first = random.nextInteger(list.length);
  const second = (first + 1 + random.nextInteger(list.length - 1)) % list.length;
  return [list[first]!, list[second]!];
}

function lessLoaded(
  pair: readonly TrackedMember[],
  score: Score,
  random: RandomSource,
): TrackedMember | undefined {
  const [left, right] = pair;
  if (!left || !right) return left;
  const difference = score(left) - score(right);
  // Equal members are chosen equally often.
  if (difference === 0) return random.nextInteger(2) === 0 ? left : right;
  return difference < 0 ? left : right;
}

/**
 * Power of two choices: the less loaded of two random candidates. Only when neither of the two may be
 * chosen is the whole list searched.
 *
 * @param list - Members of one locality.
 * @param isAllowed - Filter for this call.
 * @param score - Load to compare.
 * @param random - Source of the choices.
 * @returns The chosen tracked, if any is allowed.
 * @internal
 */
export function pickMember(
  list: readonly TrackedMember[],
  isAllowed: Filter,
  score: Score,
  random: RandomSource,
): TrackedMember | undefined {
  const sampled = sampleTwo(list, random).filter(isAllowed);
  if (sampled.length > 0 || list.length <= 2) return lessLoaded(sampled, score, random);
  return lessLoaded(sampleTwo(list.filter(isAllowed), random), score, random);
}
