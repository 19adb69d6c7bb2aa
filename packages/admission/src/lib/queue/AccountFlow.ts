import type { QueuedCall } from './QueuedCall';

/**
 * Queued calls of one account at one priority: a flow in the sense of start-time fair queueing.
 *
 * @internal
 */
export interface AccountFlow {
  readonly accountKey: string;
  /** Queued calls by depth, each set in order of arrival. */
  readonly callsByDepth: Map<number, Set<QueuedCall>>;
  /** @returns Virtual start time of the flow's next call. */
  readonly startTag: () => number;
  /** @returns Tie-breaker among flows with the same start tag. */
  readonly sequence: () => number;
  /** @returns Whether the flow is in the heap of flows. */
  readonly isScheduled: () => boolean;
  readonly length: () => number;
  /** Marks the flow as scheduled. The start tag never decreases. */
  readonly schedule: (earliestTag: number, sequence: number) => void;
  readonly unschedule: () => void;
  /** Advances the start tag by the cost of one served call. */
  readonly charge: () => void;
  readonly setLength: (length: number) => void;
}
