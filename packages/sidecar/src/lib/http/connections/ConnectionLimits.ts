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
  /**
   * Bytes of answers that may arrive before callers read them, that may wait for other nodes to read them, and that are retained in
   * case they are lost on their way, for each of the three. A request whose answer would need more gets it as its caller reads.
   */
  readonly answerBytes: number;
  /** Most open connections. */
  readonly connections: number;
  /** Time without progress after which a connection with an unfinished body or an unread response is closed. */
  readonly stallMilliseconds: number;
}

/**
 * The limits that apply to any listener, also to one that passes nothing on.
 *
 * @public
 */
export type ListenerLimits = Omit<ConnectionLimits, 'uploadBytes' | 'answerBytes'>;
