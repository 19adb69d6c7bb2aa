const NOT_RUN_STATUSES: ReadonlySet<number> = new Set([408, 421, 429, 503]);

/**
 * @param status - HTTP status.
 * @returns Whether callers take the status as a promise that the request has not run and never will.
 * @internal
 */
export function isNotRunStatus(status: number): boolean {
  return NOT_RUN_STATUSES.has(status);
}
