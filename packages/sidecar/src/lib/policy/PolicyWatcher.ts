import type { CallPolicy } from '@buckthornslip/config';

import type { PolicyKnowledge } from './PolicyKnowledge';

/**
 * Tracks the current policy of this node, which never reverts to an earlier revision.
 *
 * @public
 */
export interface PolicyWatcher {
  /** @returns The newest known policy, or undefined if none has been received yet. */
  readonly current: () => CallPolicy | undefined;
  /** @returns A promise that resolves when the first policy is in force. */
  readonly whenAvailable: () => Promise<void>;
  /** @returns The encoded current policy, to be sent to peers. */
  readonly currentBytes: () => Uint8Array | undefined;
  /**
   * @returns Time since the store confirmed, to this node or to one that told it, that no newer policy exists, in milliseconds;
   *   Infinity if it never did, or if a newer one is known and has not been received yet.
   */
  readonly ageMilliseconds: () => number;
  /** @returns The current policy's revision and {@link PolicyWatcher.ageMilliseconds}. */
  readonly knowledge: () => PolicyKnowledge;
  /** Takes over what another node knows of the policy in the store. */
  readonly learn: (knowledge: PolicyKnowledge) => void;
  /** Applies a policy received from another node if it is newer. */
  readonly offer: (bytes: Uint8Array, source: string) => void;
  /** Reads the policy and the evacuation orders from the store once, unless they are followed. */
  readonly refresh: () => void;
  /** Starts or stops following the policy in the store. */
  readonly setFollowing: (follows: boolean) => void;
  readonly close: () => void;
}
