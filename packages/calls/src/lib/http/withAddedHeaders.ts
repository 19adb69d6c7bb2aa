import type { HttpLimits } from './HttpLimits';

/** Extra size for the context and the other headers that nodes add, in bytes. */
const ADDED_HEAD_BYTES = 4_096;

/**
 * @param limits - Limits for requests of callers.
 * @returns Limits for requests that also have the headers that nodes add.
 * @internal
 */
export function withAddedHeaders(limits: HttpLimits): HttpLimits {
  return { ...limits, headBytes: limits.headBytes + ADDED_HEAD_BYTES };
}
