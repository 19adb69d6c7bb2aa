import type { Priority } from '@buckthornslip/common';

/**
 * Byte budget of one region pair.
 *
 * @internal
 */
export interface LinkBudget {
  /**
   * Takes bytes out of the budget, if the priority leaves enough to more important calls.
   *
   * @param bytes - Expected size of the call in both directions, in bytes.
   * @param bodyBytes - Size of the request's body, in bytes.
   * @param priority - Importance of the call.
   * @returns Whether the call may cross.
   */
  readonly tryTake: (bytes: number, bodyBytes: number, priority: Priority) => boolean;

  /**
   * Corrects the budget once the size of a call is known.
   *
   * @param takenBytes - Bytes taken before, in bytes.
   * @param transferredBytes - Bytes that crossed, in bytes.
   */
  readonly reconcile: (takenBytes: number, transferredBytes: number) => void;
}
