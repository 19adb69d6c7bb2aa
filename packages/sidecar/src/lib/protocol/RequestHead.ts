/**
 * What a request says of itself, decoded from its headers.
 *
 * @public
 */
export interface RequestHead {
  /** Identifies one attempt of a caller; undefined if the request has none. */
  readonly requestId: string | undefined;
  /** Time that the caller waits, in milliseconds; undefined if the request does not say. */
  readonly timeoutMilliseconds: number | undefined;
  /** Key of a client account. */
  readonly key: string | undefined;
}
