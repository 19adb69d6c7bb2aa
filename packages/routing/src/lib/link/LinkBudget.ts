import type { Priority } from '@buckthornslip/common';

/**
 * Byte budget of the link between one pair of regions.
 *
 * @internal
 */
export interface LinkBudget {
  /**
   * Takes bytes out of the budget if the share reserved for more important calls stays available.
   *
   * @param bytes - Expected size of the call in both directions, in bytes.
   * @param bodyBytes - Size of the request body, in bytes.
   * @param priority - Priority of the call.
   * @returns Whether the bytes were taken, so that the call may cross the link.
   */
  readonly tryTake: (bytes: number, bodyBytes: number, priority: Priority) => boolean;

  /**
   * Corrects the budget once the actual size of a call is known.
   *
   * @param takenBytes - Bytes taken for the call before.
   * @param transferredBytes - Bytes that crossed the link.
   */
  readonly reconcile: (takenBytes: number, transferredBytes: number) => void;
}
