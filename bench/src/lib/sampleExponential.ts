import type { RandomSource } from '@buckthornslip/common';

/**
 * @param random - Source of random numbers.
 * @param mean - Mean of the distribution.
 * @returns A sample of the exponential distribution.
 */
export function sampleExponential(random: RandomSource, mean: number): number {
  return -Math.log(1 - random.next()) * mean;
}
