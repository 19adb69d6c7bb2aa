/**
 * A request to a peer failed or timed out.
 *
 * @public
 */
export interface PeerError {
  readonly kind: 'peer-failed';
  readonly reason: string;
}
