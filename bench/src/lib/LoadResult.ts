/**
 * Measurements of a load generator.
 *
 * @internal
 */
export interface LoadResult {
  readonly requests: number;
  readonly failures: number;
  readonly p50Milliseconds: number;
  readonly p99Milliseconds: number;
}
