/**
 * What a caller stand-in sends.
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
  /** Longest time for one request, in milliseconds. */
  readonly timeoutMilliseconds?: number;
  readonly bodyBytes?: number;
  /** Whether each request carries its own Idempotency-Key. */
  readonly idempotent?: boolean;
  /** Sent as X-Marker. */
  readonly marker?: string;
}
