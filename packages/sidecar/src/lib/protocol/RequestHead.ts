/**
 * Decoded headers of a request.
 *
 * @public
 */
export interface RequestHead {
  /** Identifies one attempt of a caller; undefined if the request has no id. */
  readonly requestId: string | undefined;
  /** Timeout of the caller, in milliseconds; undefined if the request states none. */
  readonly timeoutMilliseconds: number | undefined;
  /** API key of a client account. */
  readonly key: string | undefined;
}
