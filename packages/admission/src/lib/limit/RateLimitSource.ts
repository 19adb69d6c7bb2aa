/**
 * Why the calls that start per second are limited: the upstream states a limit in its responses, or it is cold.
 *
 * @public
 */
export type RateLimitSource = 'stated' | 'cold';
