/**
 * Limits of a listener, which protect it from slow or oversized requests.
 *
 * @public
 */
export interface HttpLimits {
  /** Timeout for receiving the head of a request, in milliseconds. */
  readonly headMilliseconds: number;
  /** Idle timeout of a request body, in milliseconds. */
  readonly bodyIdleMilliseconds: number;
  /** Maximum size of the head of a request, in bytes. */
  readonly headBytes: number;
  /** Maximum number of connections. */
  readonly connections: number;
}
