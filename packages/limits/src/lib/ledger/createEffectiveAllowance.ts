import type { Clock } from '@buckthornslip/common';

import type { AccountAllowance } from './AccountAllowance';

/**
 * Time for which an account keeps its earlier allowance after it was lowered, in milliseconds. Requests that were sent
 * before their caller could know of the change are not refused; the lower limit is in force well within the time that a
 * change of the configuration may take.
 */
const GRACE_MILLISECONDS = 1_500;

/**
 * Follows the allowance of an account. A higher one counts at once, a lower one after a short time.
 *
 * @param clock - Source of monotonic time.
 * @param configured - Allowance of the policy in force.
 * @returns The allowance that counts now.
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
