import type { Clock, NodeIdentity, RandomSource, RegionId, ZoneId } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ContactStore } from '../contacts/ContactStore';
import type { RegistrationInfo } from '../contacts/RegistrationInfo';
import type { MembershipPeers } from '../peers/MembershipPeers';

/**
 * What membership of one node works with.
 *
 * @public
 */
export interface MembershipOptions {
  readonly identity: NodeIdentity;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** "address:port" of the listener for forwarded calls. */
  readonly peerAddress: string;
  /** "address:port" of the gRPC listener. */
  readonly controlAddress: string;
  /** Control addresses of other nodes, used while the store is down. */
  readonly seeds: readonly string[];
  readonly peers: MembershipPeers;
  /** Absent for a node that works from seeds only. */
  readonly store?: ContactStore | undefined;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  /**
   * Time for which records of nodes that have gone are kept, in milliseconds; three hours unless given.
   * It should exceed the time for which regions are separated.
   */
  readonly departedRetentionMilliseconds?: number | undefined;
  /** Supplies what this node tells nodes that register with it. */
  readonly registrationInfo?: () => RegistrationInfo | undefined;
  /** Takes what a contact told at a registration. */
  readonly onRegistrationInfo?: (info: RegistrationInfo) => void;
}
