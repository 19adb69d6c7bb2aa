/**
 * Time after the deadline for which a node waits for the serving node, in milliseconds. The serving node knows whether
 * the call has run, and reports the deadline itself.
 *
 * @internal
 */
export const DEADLINE_GRACE_MILLISECONDS = 25;
