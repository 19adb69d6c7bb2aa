/**
 * Minimum burst of an account that is divided among the regions. The parts of a smaller account would
 * be too small to admit a burst of a few calls.
 *
 * @internal
 */
export const MINIMUM_DIVIDED_BURST = 20;
