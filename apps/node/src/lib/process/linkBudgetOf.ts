import type { RegionId } from '@buckthornslip/common';
import type { MembershipNode } from '@buckthornslip/membership';
import type { RouterOptions } from '@buckthornslip/routing';

/** Capacity of the link between two regions in one direction: 30 Mbit/s, in bytes a second. */
const LINK_BYTES_PER_SECOND = 3_750_000;

/** Part of the link that calls may use; the rest is for control messages and other traffic. */
const CALL_SHARE = 0.7;

/** Nodes of a region that are assumed to send over the link at the same time. */
const MINIMUM_SENDERS = 8;

/** Seconds of the budget that may be used at once, so that an upload of a few megabytes can cross. */
const BURST_SECONDS = 30;

/** Bodies above this size cross only when the budget is nearly unused, in bytes. */
const LARGE_BODY_BYTES = 256 * 1024;

/**
 * Divides the link between the regions among the nodes that use it.
 *
 * @param membership - Membership of this node, whose service counts as the number of senders.
 * @returns This node's part of the link to a region.
 * @internal
 */
export function linkBudgetOf(membership: MembershipNode): RouterOptions['linkBudget'] {
  return (_region: RegionId) => {
    const { service, region } = membership.self();
    const peers = service ? membership.members(service) : [];
    const sendersOfService = peers.filter(
      (member) => member.region === region && member.alive,
    ).length;
    const senders = Math.max(MINIMUM_SENDERS, sendersOfService);
    const bytesPerSecond = (LINK_BYTES_PER_SECOND * CALL_SHARE) / senders;
    return {
      bytesPerSecond,
      burstBytes: bytesPerSecond * BURST_SECONDS,
      largeBodyBytes: LARGE_BODY_BYTES,
    };
  };
}
