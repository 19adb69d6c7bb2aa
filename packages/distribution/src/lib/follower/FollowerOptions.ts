import type { Clock, HostId, RegionId, ZoneId } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ConfigurationPeers } from '../peers/ConfigurationPeers';
import type { PeerContact } from '../peers/PeerContact';
import type { ConfigurationStore } from '../store/ConfigurationStore';

/**
 * Dependencies and settings of a follower.
 *
 * @public
 */
export interface FollowerOptions {
  readonly host: HostId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** This node's control address, from which other nodes fetch the revisions that it announces. */
  readonly controlAddress: string;
  readonly clock: Clock;
  readonly logger: EventLogger;
  readonly store: ConfigurationStore;
  readonly peers: ConfigurationPeers;
  readonly fleetSecret: string;
  /** Time without confirmation after which the revision in force counts as stale, in milliseconds. */
  readonly freshnessLimitMilliseconds: number;
  /** Poll interval, in milliseconds; a quarter of the freshness limit by default. */
  readonly pollMilliseconds?: number;
  /** Whether this node is currently a contact of its zone. Only contacts read the store. */
  readonly isContact: () => boolean;
  /** All known zone contacts, possibly including this node. */
  readonly contacts: () => readonly PeerContact[];
  /** Control addresses of the nodes registered with this contact. */
  readonly registeredNodes: () => readonly string[];
}
