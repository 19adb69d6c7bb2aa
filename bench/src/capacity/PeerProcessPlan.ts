import type { SyntheticPeerOptions } from './startSyntheticPeer';

/**
 * Configuration of a process that runs synthetic peers.
 *
 * @internal
 */
export interface PeerProcessPlan {
  readonly storeAddress: string;
  readonly fleetSecret: string;
  readonly peers: readonly SyntheticPeerOptions[];
}
