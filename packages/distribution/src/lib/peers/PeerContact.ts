import type { HostId, RegionId, ZoneId } from '@buckthornslip/common';

/**
 * A zone contact that serves revisions to other nodes.
 *
 * @public
 */
export interface PeerContact {
  readonly host: HostId;
  readonly region: RegionId;
  readonly zone: ZoneId;
  /** Control address, as "address:port". */
  readonly controlAddress: string;
}
