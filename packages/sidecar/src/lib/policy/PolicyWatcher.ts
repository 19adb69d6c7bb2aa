import type { CallPolicy } from '@buckthornslip/config';

/**
 * The policy in force on this node. It never goes back to an earlier revision.
 *
 * @public
 */
export interface PolicyWatcher {
  /** @returns The newest policy known, or undefined before the first. */
  readonly current: () => CallPolicy | undefined;
  /** @returns The stored form of the policy in force, to be handed to peers. */
  readonly currentBytes: () => Uint8Array | undefined;
  /** Takes in a policy that another node has. */
  readonly offer: (bytes: Uint8Array, source: string) => void;
  readonly start: () => void;
  readonly close: () => void;
}
