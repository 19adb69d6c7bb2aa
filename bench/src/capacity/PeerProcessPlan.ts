import type { SyntheticPeerOptions } from './startSyntheticPeer';

/**
 * What a process of light peers runs.
 *
 * @internal
 */
export interface PeerProcessPlan {
  readonly storeAddress: string;
  readonly fleetSecret: string;
  readonly peers: readonly SyntheticPeerOptions[];
}
