import type { AccountId, CallId, NodeIdentity, Priority, RootCallId } from '@buckthornslip/common';

/**
 * The context that is sent with each call of a call tree, signed with the fleet secret.
 *
 * @public
 */
export interface CallContext {
  readonly rootCallId: RootCallId;
  /** Node process that holds the retry budget of the root call. */
  readonly rootNode: NodeIdentity;
  /** "address:port" of the root node's gRPC listener. */
  readonly rootControlAddress: string;
  /** The call that the context belongs to, which is the parent of the calls made with it. */
  readonly callId: CallId;
  /** Undefined if the route of the root call is open. */
  readonly account: AccountId | undefined;
  readonly priority: Priority;
  /** Hops below the root call, which has depth 0. */
  readonly depth: number;
  /** Wall-clock deadline on the signing host, in milliseconds since the Unix epoch. */
  readonly deadlineWallMilliseconds: number;
}
