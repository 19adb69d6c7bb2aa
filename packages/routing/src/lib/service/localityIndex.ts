import type { RegionId, ZoneId } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

/** Number of localities: own zone, own region, other regions. */
export const LOCALITY_COUNT = 3;

/** Locality of members in the zone of this node. */
export const OWN_ZONE = 0;

/** Locality of members in the other zones of the region. */
export const OWN_REGION = 1;

/** Locality of members in other regions, which are reached over a link with a byte budget. */
export const OTHER_REGION = 2;

/**
 * @param own - Region and zone of this node.
 * @param member - A member.
 * @returns 0 for the same zone, 1 for the same region, 2 for another region.
 * @internal
 */
export function localityIndex(
  own: { readonly region: RegionId; readonly zone: ZoneId },
  member: Member,
): number {
  if (member.region !== own.region) return OTHER_REGION;
  return member.zone === own.zone ? OWN_ZONE : OWN_REGION;
}
