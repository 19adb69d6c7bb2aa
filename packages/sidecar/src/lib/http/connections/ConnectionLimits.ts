/**
 * Limits that protect a listener from its callers.
 *
 * @public
 */
export interface ConnectionLimits {
  /** Most requests without a complete response on one connection; further ones are not read. */
  readonly requestsAhead: number;
  /** Requests without a complete response from which only connections without one are read. */
  readonly requests: number;
  /** Bytes of requests and responses that are kept for all connections before stalled ones are closed. */
  readonly keptBytes: number;
  /**
   * Bytes of uploads that are kept whole, so that they can be sent to another upstream. Further uploads are passed on as they
   * arrive.
   */
  readonly uploadBytes: number;
  /** Most open connections. */
  readonly connections: number;
  /** Time without progress after which a connection with an unfinished body or an unread response is closed. */
  readonly stallMilliseconds: number;
}
