import type { Clock } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';

/**
 * Time for which an account keeps its previous allowance after it was lowered, in milliseconds. Requests that were sent
 * before their caller could know of the change are not refused. The lower limit still takes effect well within the time
 * that a configuration change may take.
 */
const GRACE_MILLISECONDS = 1_500;

/**
 * Tracks the allowance of an account. An increase takes effect at once, a decrease after a grace period.
 *
 * @param clock - Source of monotonic time.
 * @param configured - Allowance of the active policy.
 * @returns A function that returns the allowance in effect.
 * @internal
 */
export function createEffectiveAllowance(
  clock: Clock,
  configured: () => AccountAllowance,
): () => AccountAllowance {
  let current = configured();
  let loweredMilliseconds: number | undefined;
  return () => {
    const next = configured();
    const isLower = next.ratePerSecond < current.ratePerSecond || next.burst < current.burst;
    if (!isLower) {
      current = next;
      loweredMilliseconds = undefined;
      return current;
    }
    const now = clock.monotonicMilliseconds();
    loweredMilliseconds ??= now;
    if (now - loweredMilliseconds < GRACE_MILLISECONDS) return current;
    current = next;
    loweredMilliseconds = undefined;
    return current;
  };
}
