import type { Clock } from '@buckthornslip/common';

import type { StoreEngine } from './StoreEngine';

interface EngineLease {
  readonly timeToLiveMilliseconds: number;
  readonly cancelTimer: () => void;
}

/**
 * Creates the leases of a storage engine.
 *
 * @param clock - Clock for the expiry of leases.
 * @param onEnd - Called with the id of each lease that expired or was revoked.
 * @returns The lease operations of the engine.
 * @internal
 */
export function createEngineLeases(
  clock: Clock,
  onEnd: (leaseId: number) => void,
): Pick<StoreEngine, 'hasLease' | 'grantLease' | 'keepAlive' | 'revokeLease'> & {
  /** @returns Time to live of each lease in milliseconds, by lease id. */
  readonly termsOfLeases: () => ReadonlyMap<number, number>;
  /** Replaces all leases without ending them. */
  readonly replaceLeases: (terms: ReadonlyMap<number, number>) => void;
} {
  const leases = new Map<number, EngineLease>();

  const end = (leaseId: number): boolean => {
    const lease = leases.get(leaseId);
    if (!lease) return false;
    lease.cancelTimer();
    leases.delete(leaseId);
    onEnd(leaseId);
    return true;
  };

  const grantLease = (leaseId: number, timeToLiveMilliseconds: number): void => {
    leases.get(leaseId)?.cancelTimer();
    const cancelTimer = clock.setTimer(timeToLiveMilliseconds, () => end(leaseId));
    leases.set(leaseId, { timeToLiveMilliseconds, cancelTimer });
  };

  const keepAlive = (leaseId: number): number | undefined => {
    const lease = leases.get(leaseId);
    if (lease) grantLease(leaseId, lease.timeToLiveMilliseconds);
    return lease?.timeToLiveMilliseconds;
  };

  return {
    hasLease: (leaseId) => leases.has(leaseId),
    grantLease,
    keepAlive,
    revokeLease: end,
    termsOfLeases: () =>
      new Map([...leases].map(([id, { timeToLiveMilliseconds }]) => [id, timeToLiveMilliseconds])),
    replaceLeases: (terms) => {
      leases.forEach(({ cancelTimer }) => cancelTimer());
      leases.clear();
      terms.forEach((timeToLiveMilliseconds, id) => grantLease(id, timeToLiveMilliseconds));
    },
  };
}
