import type { RandomSource } from '@buckthornslip/common';

/**
 * Mean time between two announcements in a zone, in milliseconds. All nodes of a zone change their state at once, and each
 * record of about 100 bytes reaches every node, which may spend 25 KB/s on it.
 */
const INTERVAL_MILLISECONDS = 4;

/**
 * Spreads the announcements of a zone whose evacuation starts or ends. They are not urgent, because all nodes know the orders.
 *
 * @param random - Source of random numbers.
 * @param zoneNodes - Nodes of the zone.
 * @returns Time until this node announces its state, in milliseconds.
 * @internal
 */
export function announcementDelay(random: RandomSource, zoneNodes: number): number {
  return random.next() * zoneNodes * INTERVAL_MILLISECONDS;
}
