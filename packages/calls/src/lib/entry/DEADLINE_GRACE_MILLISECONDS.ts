/**
 * How long after the deadline a node still waits for the serving node, in milliseconds. The serving node knows whether
 * the call has run, so its own report of the exceeded deadline is preferred.
 *
 * @internal
 */
export const DEADLINE_GRACE_MILLISECONDS = 25;
