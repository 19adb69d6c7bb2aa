/** Number of nodes up to which the shortest spread applies. */
const SMALL_FLEET_NODES = 84;

/** Time over which a small fleet writes its records again, in milliseconds. */
const SMALL_FLEET_MILLISECONDS = 1_000;

/**
 * Additional time for each further node, in milliseconds. A node writes twice, a lease and its record, and the fleet may use a
 * tenth of the 1,200 writes per second of a large deployment.
 */
const MILLISECONDS_PER_NODE = 17;

/**
 * @param nodes - Number of nodes of the fleet.
 * @returns Time over which they write their records again after the store was restored, in milliseconds.
 * @internal
 */
export function rewriteSpread(nodes: number): number {
  return SMALL_FLEET_MILLISECONDS + Math.max(0, nodes - SMALL_FLEET_NODES) * MILLISECONDS_PER_NODE;
}
