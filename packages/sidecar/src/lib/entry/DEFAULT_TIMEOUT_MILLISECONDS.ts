/** Timeout of a request that has no deadline on a route without a timeout, in milliseconds. */
export const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
