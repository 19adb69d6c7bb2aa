/**
 * Nodes and regions in which a revision is confirmed to be in effect.
 *
 * @internal
 */
export interface Rollout {
  /** Number of nodes queried: the zone contacts and those given with `--nodes`. */
  readonly askedNodes: number;
  readonly confirmedNodes: number;
  /** Regions of the manifest in which no node was queried or some queried node did not confirm the revision. */
  readonly unconfirmedRegions: readonly string[];
  /** Nodes that did not confirm the revision and whose region is unknown or not in the manifest. */
  readonly unconfirmedNodes: readonly string[];
}
