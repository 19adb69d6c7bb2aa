/**
 * Priority rank from which on calls are refused before they queue.
 *
 * @internal
 */
export interface PriorityCutoff {
  /** @returns The rank; larger than all ranks when nothing is refused. */
  readonly rank: () => number;
  readonly recordArrival: (rank: number) => void;
  /** Notes that a call of the rank left the queue because of load. */
  readonly recordRefusal: (rank: number) => void;
  /** Notes that a slot was free while no call waited. */
  readonly recordIdleSlot: () => void;
}
