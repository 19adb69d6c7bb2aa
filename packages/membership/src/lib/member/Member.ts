import type { NodeIdentity, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';

import type { MemberDeparture } from './MemberDeparture';
import type { MemberState } from './MemberState';

/**
 * A node and its local upstream, the one on the same host.
 *
 * @public
 */
export interface Member extends NodeIdentity {
  /** Increases with each change that the node itself makes to its record. */
  readonly version: number;
  /** Undefined until an upstream has announced itself to the node. */
  readonly service: ServiceId | undefined;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** "address:port" of the listener for forwarded calls. */
  readonly peerAddress: string;
  /** "address:port" of the gRPC listener. */
  readonly controlAddress: string;
  readonly slots: number;
  readonly connections: number;
  readonly state: MemberState;
  /** Upstream that is leaving or has left, which the node must not use again after a restart. */
  readonly departure?: MemberDeparture;
  /** False if failure detection has declared the node dead. */
  readonly alive: boolean;
}
