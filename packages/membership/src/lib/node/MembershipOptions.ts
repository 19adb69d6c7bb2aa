import type { Clock, NodeIdentity, RandomSource, RegionId, ZoneId } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ContactStore } from '../contacts/ContactStore';
import type { RegistrationInfo } from '../contacts/RegistrationInfo';
import type { MembershipPeers } from '../peers/MembershipPeers';

/**
 * Options of the membership of one node.
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
  /** Absent if the node uses only seeds. */
  readonly store?: ContactStore | undefined;
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly logger: EventLogger;
  /**
   * Time for which records of departed nodes are kept, in milliseconds; three hours by default. It should
   * exceed the duration of network partitions between regions.
   */
  readonly departedRetentionMilliseconds?: number | undefined;
  /** Returns the information that this node sends to nodes that register with it. */
  readonly registrationInfo?: () => RegistrationInfo | undefined;
  /** Receives the information that a contact sent in response to a registration. */
  readonly onRegistrationInfo?: (info: RegistrationInfo) => void;
}
