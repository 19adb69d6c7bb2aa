import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

import type { RandomSource } from './RandomSource';

const UINT32_RANGE = 2 ** 32;

/**
 * Creates a pseudorandom number generator that is reproducible.
 *
 * @param seed - Integer that determines the sequence.
 * @returns The random source; it is not cryptographically secure.
 * @public
 */
export function createSeededRandom(seed: number): RandomSource {
  const generator = xoroshiro128plus(seed);
  // eslint-disable-next-line no-bitwise
  const next = (): number => (generator.next() >>> 0) / UINT32_RANGE;
  return { next, nextInteger: (limit) => Math.floor(next() * limit) };
}
