/** Longest time for a request that names neither a deadline nor a route with a timeout, in milliseconds. */
export const DEFAULT_TIMEOUT_MILLISECONDS = 30_000;
