import type { ZoneId } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { MemberDirectory } from '../directory/MemberDirectory';
import type { EvacuationOrders } from './EvacuationOrders';

/** Dependencies of the count. */
interface UnknownZonesOptions {
  readonly directory: Pick<MemberDirectory, 'self' | 'livePeers' | 'whenInformed'>;
  readonly orders: Pick<EvacuationOrders, 'zones' | 'changes'>;
  readonly logger: EventLogger;
}

/** Counts the ordered zones to which no known node belongs, such as misspelt ones. */
export interface UnknownZones {
  readonly count: () => number;
  readonly close: () => void;
}

/**
 * Logs each ordered zone without nodes once, as soon as this node knows the others.
 *
 * @param options - Member directory, orders and logger.
 * @returns The count. The orders themselves are kept, since a node of the zone may start later.
 * @internal
 */
export function trackUnknownZones(options: UnknownZonesOptions): UnknownZones {
  const { directory, logger, orders } = options;
  let logged = new Set<ZoneId>();

  const unknownZones = (): readonly ZoneId[] => {
    if (orders.zones().size === 0) return [];
    const known = new Set([directory.self(), ...directory.livePeers()].map(({ zone }) => zone));
    return [...orders.zones()].filter((zone) => !known.has(zone));
  };

  const check = (): void => {
    const unknown = unknownZones();
    unknown
      .filter((zone) => !logged.has(zone))
      .forEach((zone) => logger.log('evacuationZoneUnknown', { zone }));
    logged = new Set(unknown);
  };

  const subscription = orders.changes.subscribe(() => {
    void directory.whenInformed().then(check);
  });

  return { count: () => unknownZones().length, close: () => subscription.unsubscribe() };
}
