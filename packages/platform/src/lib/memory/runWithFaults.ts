import { failure, type Clock, type Result } from '@buckthornslip/common';

import type { StoreError } from '../store/StoreError';
import type { StoreFaults } from './StoreFaults';

/**
 * Runs a store operation with fault injection.
 *
 * @param options - `effect` reads or changes the engine synchronously.
 * @returns The result of the effect, or `unavailable` or `timeout` if a fault applies.
 * @internal
 */
export async function runWithFaults<Value>(options: {
  readonly clock: Clock;
  readonly faults: StoreFaults;
  readonly timeoutMilliseconds: number;
  readonly isWrite: boolean;
  readonly effect: () => Result<Value, StoreError>;
}): Promise<Result<Value, StoreError>> {
  const { clock, faults, timeoutMilliseconds, isWrite, effect } = options;
  const slowMilliseconds = faults.slowMilliseconds();
  const attempt = (): Result<Value, StoreError> => {
    if (faults.isDown()) return failure({ kind: 'unavailable' });
    const result = effect();
    return isWrite && faults.takeLostResponse() ? failure({ kind: 'timeout' }) : result;
  };
  if (slowMilliseconds === 0) return attempt();
  const late = clock.sleep(slowMilliseconds).then(attempt);
  if (slowMilliseconds < timeoutMilliseconds) return late;
  await clock.sleep(timeoutMilliseconds);
  return failure({ kind: 'timeout' });
}
