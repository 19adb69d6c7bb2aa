import type { MembershipHandler } from '../peers/MembershipHandler';
import type { MembershipPeers } from '../peers/MembershipPeers';
import type { TrafficCount } from './TrafficCount';

/**
 * An in-memory network for tests and benchmarks, with injectable faults.
 *
 * @public
 */
export interface MemoryNetwork {
  /** Connects a node at an address. */
  readonly attach: (address: string, handler: MembershipHandler) => void;
  /** Disconnects a node, as in a crash. */
  readonly detach: (address: string) => void;
  /** @returns The client of one address for all others. */
  readonly peersOf: (address: string) => MembershipPeers;
  /** Sets the probability that a message is lost, in either direction. */
  readonly setLoss: (probability: number) => void;
  /** Delivers messages only between addresses for which the function returns the same value. */
  readonly partition: (side: (address: string) => unknown) => void;
  /** @returns The messages that an address has sent and received so far. */
  readonly traffic: (address: string) => TrafficCount;
}
