/**
 * Full rate and burst of an account, in millionths.
 *
 * @internal
 */
export const FULL_SHARE = 1_000_000;
