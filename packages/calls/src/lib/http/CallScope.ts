import type { RefusalReason } from '@buckthornslip/common';

/**
 * Cancellation scope of one call on one node: its deadline and its cancellation.
 *
 * @public
 */
export interface CallScope {
  /** Absolute deadline on the local monotonic clock, in milliseconds. */
  readonly deadlineMilliseconds: number;
  /** Aborted when the call is cancelled. Created on first access, since an AbortSignal is expensive. */
  readonly signal: AbortSignal;
  /**
   * Registers a callback for the cancellation of the call. It is called immediately if the call is already cancelled.
   *
   * @returns A function that removes the callback.
   */
  readonly onCancel: (callback: () => void) => () => void;
  /** Cancels the call. Only the first reason is kept. */
  readonly cancel: (reason: RefusalReason) => void;
  /** @returns The reason of the cancellation, if the call was cancelled. */
  readonly cancelReason: () => RefusalReason | undefined;
  /** @returns Time until the deadline, in milliseconds; negative after it. */
  readonly remainingMilliseconds: () => number;
  /** Stops the deadline timer. */
  readonly end: () => void;
}
