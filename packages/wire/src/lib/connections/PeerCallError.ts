/**
 * Why a gRPC call to another node failed. Only `unreachable` means that the call was not processed.
 *
 * @public
 */
export type PeerCallError =
  | { readonly kind: 'unreachable' }
  | { readonly kind: 'timeout' }
  | { readonly kind: 'failed'; readonly detail: string };
