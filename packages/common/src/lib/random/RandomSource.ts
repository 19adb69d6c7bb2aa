/**
 * Source of random numbers. Code takes it as an argument, so that tests are reproducible.
 *
 * @public
 */
export interface RandomSource {
  /**
   * @returns A number from 0 (inclusive) to 1 (exclusive).
   */
  readonly next: () => number;

  /**
   * @param limit - Exclusive upper limit, a positive integer.
   * @returns An integer from 0 (inclusive) to the limit (exclusive).
   */
  readonly nextInteger: (limit: number) => number;
}
