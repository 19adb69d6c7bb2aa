import type { PartitionState } from './PartitionState';

/**
 * The task that participates in the lease of one partition.
 *
 * @internal
 */
export interface PartitionTask {
  readonly state: PartitionState;

  /** Starts the task; has no effect if it is already started. */
  readonly start: () => void;

  /** Runs the next cycle now instead of after the interval. */
  readonly wake: () => void;

  /** Resolves after a complete cycle that starts after this call. */
  readonly runCycle: () => Promise<void>;

  /** Stops the task and hands over the lease. */
  readonly stop: () => Promise<void>;

  /** Stops the task without a handover. */
  readonly abandon: () => void;
}
