import type { HostId, Priority, RegionId, ServiceId } from '@buckthornslip/common';

/**
 * Properties of a call that determine the choice of its serving node.
 *
 * @public
 */
export interface RouteRequest {
  readonly service: ServiceId;
  readonly priority: Priority;
  /** Declared size of the body, in bytes; undefined if not declared. */
  readonly bodyBytes: number | undefined;
  /** Hosts already tried by earlier attempts of this call. */
  readonly excludedHosts: ReadonlySet<HostId>;
  /** Regions in which a member may be chosen; undefined for all. */
  readonly allowedRegions: ReadonlySet<RegionId> | undefined;
  /**
   * Expected service time on an average upstream, in milliseconds; 0 if it is not known. If it is given, members are
   * compared by expected completion time.
   */
  readonly costMilliseconds?: number | undefined;
}
