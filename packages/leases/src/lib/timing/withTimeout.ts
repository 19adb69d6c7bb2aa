import type { Clock } from '@buckthornslip/common';

/**
 * Waits for an operation for a limited time.
 *
 * @param clock - Source of time.
 * @param milliseconds - Maximum wait.
 * @param operation - The operation; a result after the timeout is ignored.
 * @returns The result, or undefined if the operation fails or times out.
 * @internal
 */
export function withTimeout<Value>(
  clock: Clock,
  milliseconds: number,
  operation: Promise<Value>,
): Promise<Value | undefined> {
  return new Promise((resolve) => {
    const cancelTimer = clock.setTimer(milliseconds, () => resolve(undefined));
    const finish = (value: Value | undefined): void => {
      cancelTimer();
      resolve(value);
    };
    operation.then(finish, () => finish(undefined));
  });
}
