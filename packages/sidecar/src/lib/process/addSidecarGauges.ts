import type { AdmissionLoad } from '@buckthornslip/admission';
import type { Member } from '@buckthornslip/membership';
import type { StoreEra } from '@buckthornslip/platform';

import type { ServingGate, ServingPermission } from '../evacuation/createServingGate';
import type { EvacuationOrders } from '../evacuation/EvacuationOrders';
import type { PolicyWatcher } from '../policy/PolicyWatcher';
import type { SidecarMetrics } from './createSidecarMetrics';

/** What the gauges of a sidecar read. */
interface GaugeSources {
  readonly load: () => AdmissionLoad;
  readonly policy: Pick<PolicyWatcher, 'current' | 'ageMilliseconds'>;
  readonly evacuations: Pick<EvacuationOrders, 'zones' | 'unreadableKeys'>;
  readonly gate: Pick<ServingGate, 'permission'>;
  /** Evacuation orders for zones without nodes. */
  readonly unknownZones: { readonly count: () => number };
  /** @returns Last measured delay of timers, in milliseconds. */
  readonly eventLoopDelay: () => number;
  /** @returns Remaining cold time of the upstream, in milliseconds. */
  readonly coldMilliseconds: () => number;
  readonly storeEra: () => StoreEra;
  readonly livePeers: () => readonly Member[];
  /** @returns Requests without a complete answer. */
  readonly inProgress: () => number;
}

const servingValues: Readonly<Record<ServingPermission, number>> = {
  unknown: -1,
  allowed: 1,
  evacuated: 0,
};

/**
 * Adds the gauges of a sidecar to its metrics.
 *
 * @param metrics - Metrics of the process.
 * @param sources - What the gauges read when the metrics are scraped.
 * @internal
 */
export function addSidecarGauges(
  { addGauge }: Pick<SidecarMetrics, 'addGauge'>,
  sources: GaugeSources,
): void {
  const { evacuations, gate, load, policy, unknownZones } = sources;
  addGauge('running', 'Calls running at the upstream', () => load().running);
  addGauge('queued', 'Calls waiting for the upstream', () => load().queued);
  addGauge('limit', 'Calls that may run at once', () => load().limit);
  addGauge(
    'cold_time_left',
    'Remaining cold time of the upstream, in milliseconds',
    sources.coldMilliseconds,
  );
  addGauge(
    'upstream_work',
    'Expected remaining work of running and queued calls, in milliseconds at speed 1; -1 if not estimated',
    () => load().workMilliseconds ?? -1,
  );
  addGauge(
    'upstream_speed',
    'Speed of the upstream, 1 for an average one of its service; -1 if not estimated',
    () => load().speed ?? -1,
  );
  addGauge(
    'policy_revision',
    'Revision of the policy in force',
    () => policy.current()?.revision ?? 0,
  );
  addGauge(
    'policy_age',
    'Time since the policy in force was known to be the newest, in milliseconds; -1 if it never was',
    () => (Number.isFinite(policy.ageMilliseconds()) ? policy.ageMilliseconds() : -1),
  );
  addGauge(
    'evacuated_zones',
    'Zones that are evacuated, as far as this node knows',
    () => evacuations.zones().size,
  );
  addGauge(
    'evacuation_orders_ignored',
    'Evacuation orders that have no effect: their key is unreadable, or no node belongs to the zone',
    () => evacuations.unreadableKeys() + unknownZones.count(),
  );
  addGauge(
    'serving_allowed',
    'Whether calls for the local upstream are accepted: 1, 0 if its zone is evacuated, -1 if that is not known yet',
    () => servingValues[gate.permission()],
  );
  addGauge(
    'event_loop_delay',
    'Last measured delay of timers, in milliseconds',
    sources.eventLoopDelay,
  );
  addGauge(
    'store_era',
    'Highest era that the store has stated; 0 if it states none',
    sources.storeEra,
  );
  addGauge('members', 'Other nodes that answer', () => sources.livePeers().length);
  addGauge('in_progress', 'Requests without a complete answer', sources.inProgress);
}
