/**
 * Usage of one grant by an entry node. Duplicate and reordered reports are harmless: `spent` only
 * grows, and a closed grant stays closed.
 *
 * @public
 */
export interface GrantReport {
  readonly epoch: number;
  readonly sequence: number;
  /** Number of tokens spent so far. */
  readonly spent: number;
  /** Whether the entry node has stopped spending from this grant. */
  readonly closed: boolean;
}
