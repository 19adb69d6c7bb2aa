import type { CallId } from '@buckthornslip/common';

/**
 * Detects when an upstream repeats a nested call of the same parent call.
 *
 * @internal
 */
export interface RepeatTracker {
  /**
   * Records a nested call.
   *
   * @param parent - The parent call.
   * @param fingerprint - Method, target and body digest of the call.
   * @param parentDeadlineWallMilliseconds - Wall-clock time after which the parent can be dropped, in milliseconds.
   * @returns Whether the parent has made the same call before.
   */
  readonly isRepeat: (
    parent: CallId,
    fingerprint: string,
    parentDeadlineWallMilliseconds: number,
  ) => boolean;
}
