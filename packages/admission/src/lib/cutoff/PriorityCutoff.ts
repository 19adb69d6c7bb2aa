/**
 * Lowest priority rank whose calls are refused before they enter the queue.
 *
 * @internal
 */
export interface PriorityCutoff {
  /** @returns The rank; higher than every priority's rank when nothing is refused. */
  readonly rank: () => number;
  readonly recordArrival: (rank: number) => void;
  /** Records that a call of the rank was dropped from the queue because of load. */
  readonly recordRefusal: (rank: number) => void;
  /** Records that a slot was free while the queue was empty. */
  readonly recordIdleSlot: () => void;
}
