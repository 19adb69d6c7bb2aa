/**
 * Burst below which an account is not divided among the regions: its parts would be too small to
 * let a burst of a few calls through.
 *
 * @internal
 */
export const MIN_DIVIDED_BURST = 20;
