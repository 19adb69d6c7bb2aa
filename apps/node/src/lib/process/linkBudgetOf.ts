import type { RegionId } from '@buckthornslip/common';
import type { MembershipNode } from '@buckthornslip/membership';
import type { RouterOptions } from '@buckthornslip/routing';

/** Capacity of the link between two regions in one direction: 30 Mbit/s, in bytes a second. */
const LINK_BYTES_PER_SECOND = 3_750_000;

/** Fraction of the link that calls may use; the rest is left to control messages and other traffic. */
const CALL_SHARE = 0.7;

/** Least number of nodes in a region that are assumed to send over the link at the same time. */
const MINIMUM_SENDERS = 8;

/** Burst, in seconds of the sustained rate; large enough for an upload of a few megabytes to cross. */
const BURST_SECONDS = 30;

/** Bodies above this size, in bytes, cross only while most of the budget is available. */
const LARGE_BODY_BYTES = 256 * 1024;

/**
 * Divides the capacity of the link to another region equally among the sending nodes.
 *
 * @param membership - Membership of this node; the live nodes of its service in its region count as senders.
 * @returns Function that gives this node's byte budget for the link to a region.
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
