import type { QueuedCall } from './QueuedCall';

/**
 * Bounded queue ordered by priority, then by fair queueing between accounts, then by depth (deepest first).
 *
 * @internal
 */
export interface PriorityQueue {
  readonly size: () => number;
  /**
   * Adds a call. If the queue is full, the least important call is dropped.
   *
   * @returns The dropped call, which may be the new one.
   */
  readonly add: (call: QueuedCall) => QueuedCall | undefined;
  readonly peek: () => QueuedCall | undefined;
  readonly take: () => QueuedCall | undefined;
  readonly remove: (call: QueuedCall) => void;
  /** Removes and returns all calls. */
  readonly clear: () => readonly QueuedCall[];
}
