/**
 * Maximum lifetime of a grant. A new lease holder grants nothing for this time, because tokens granted
 * by the previous holder may still be spent.
 *
 * @internal
 */
export const GRANT_LIFETIME_MILLISECONDS = 1_000;
