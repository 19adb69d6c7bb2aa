import type { Clock, ZoneId } from '@buckthornslip/common';

/** Zones whose orders stay in force for a time although the store no longer has them. */
export interface RetainedZones {
  readonly zones: () => readonly ZoneId[];
  readonly retain: (zones: Iterable<ZoneId>) => void;
  readonly release: (zones: Iterable<ZoneId>) => void;
  readonly close: () => void;
}

/**
 * Creates the set of retained zones. A store that returns from a backup may lack an order until the operator has written it
 * again.
 *
 * @param clock - Source of time.
 * @param milliseconds - Time for which an order is retained.
 * @param onExpired - Called after orders have ended.
 * @returns An empty set.
 * @internal
 */
export function createRetainedZones(
  clock: Clock,
  milliseconds: number,
  onExpired: () => void,
): RetainedZones {
  const cancelTimers = new Map<ZoneId, () => void>();

  const release = (zone: ZoneId): void => {
    cancelTimers.get(zone)?.();
    cancelTimers.delete(zone);
  };

  const retain = (zone: ZoneId): void => {
    // A further era does not prolong the retention.
    if (cancelTimers.has(zone)) return;
    const expire = (): void => {
      cancelTimers.delete(zone);
      onExpired();
    };
    cancelTimers.set(zone, clock.setTimer(milliseconds, expire));
  };

  return {
    zones: () => [...cancelTimers.keys()],
    retain: (zones) => [...zones].forEach(retain),
    release: (zones) => [...zones].forEach(release),
    close: () => [...cancelTimers.keys()].forEach(release),
  };
}
