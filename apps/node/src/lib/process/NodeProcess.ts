/**
 * A running node.
 *
 * @public
 */
export interface NodeProcess {
  /** Opens all listeners and joins the fleet. */
  readonly start: () => Promise<void>;

  /** Shuts down gracefully: finishes calls in progress, hands over leases, leaves the fleet and closes the listeners. */
  readonly stop: () => Promise<void>;

  /** @returns Configuration revision in effect on this node; 0 before the first. */
  readonly revision: () => number;

  /** Closes everything immediately, without a graceful shutdown. */
  readonly close: () => Promise<void>;
}
