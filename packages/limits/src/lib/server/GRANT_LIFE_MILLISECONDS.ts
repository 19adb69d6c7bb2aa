/**
 * Longest life of a grant. A new holder grants nothing for this time, because grants of a holder that
 * handed over may still be spent.
 *
 * @internal
 */
export const GRANT_LIFE_MILLISECONDS = 1_000;
