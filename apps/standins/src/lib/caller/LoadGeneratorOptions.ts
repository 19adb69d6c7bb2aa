/**
 * Options of a load generator.
 *
 * @public
 */
export interface LoadGeneratorOptions {
  /** "address:port" of a node's listener for callers. */
  readonly address: string;
  readonly key?: string;
  readonly method?: string;
  readonly path: string;
  readonly count: number;
  readonly ratePerSecond: number;
  /** Timeout of one request, in milliseconds. */
  readonly timeoutMilliseconds?: number;
  readonly bodyBytes?: number;
  /** Whether each request has its own Idempotency-Key. */
  readonly idempotent?: boolean;
  /** Value of the X-Marker header. */
  readonly marker?: string;
}
