import type { Refusal } from '@buckthornslip/calls';
import { refuse } from '@buckthornslip/calls';
import type { ZoneId } from '@buckthornslip/common';
import type { MemberState } from '@buckthornslip/membership';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { EvacuationOrders } from './EvacuationOrders';

/** Whether the local upstream may be sent calls, as far as its zone is concerned. */
export type ServingPermission = 'unknown' | 'allowed' | 'evacuated';

/** Dependencies of the gate. */
interface ServingGateOptions {
  /** Zone of this node. */
  readonly zone: ZoneId;
  readonly orders: Pick<EvacuationOrders, 'statement' | 'zones' | 'changes'>;
  readonly logger: EventLogger;
  /** @returns Calls that run at the local upstream. */
  readonly running: () => number;
  /** Called after the permission has changed. */
  readonly onChange: () => void;
  /** Called when an evacuation of this node's zone has ended. */
  readonly onOwnZoneRestored: () => void;
}

/** Keeps calls from the local upstream while its zone is evacuated, or while that is not known yet. */
export interface ServingGate {
  readonly permission: () => ServingPermission;
  /** @returns A promise that resolves when the orders are known. */
  readonly whenKnown: () => Promise<void>;
  /** @returns Why a call may not be sent to the upstream; undefined if it may. */
  readonly refusal: () => Refusal | undefined;
  /** @returns The state to announce for an upstream in a state. */
  readonly memberState: (state: MemberState) => MemberState;
  readonly close: () => void;
}

const refusals: Readonly<Record<ServingPermission, Refusal | undefined>> = {
  unknown: refuse('no-upstream'),
  allowed: undefined,
  evacuated: refuse('zone-evacuated'),
};

const readyStates: Readonly<Record<ServingPermission, MemberState>> = {
  // All nodes of a fleet get their first policy and the orders at once. If they then became ready, there would be a burst of records.
  unknown: 'ready',
  allowed: 'ready',
  evacuated: 'draining',
};

/**
 * Creates the gate of a node.
 *
 * @param options - The zone, the orders and listeners.
 * @returns The gate.
 * @internal
 */
export function createServingGate(options: ServingGateOptions): ServingGate {
  const { logger, onChange, onOwnZoneRestored, orders, running, zone } = options;

  const permission = (): ServingPermission => {
    if (orders.zones().has(zone)) return 'evacuated';
    return orders.statement() ? 'allowed' : 'unknown';
  };
  let announced = permission();
  let resolveKnown = (): void => undefined;
  const known = new Promise<void>((resolve) => {
    resolveKnown = resolve;
  });

  const subscription = orders.changes.subscribe(() => {
    const previous = announced;
    announced = permission();
    resolveKnown();
    if (announced === previous) return;
    if (announced === 'evacuated') logger.log('ownZoneEvacuated', { zone, running: running() });
    if (previous === 'evacuated') {
      logger.log('ownZoneRestored', { zone });
      // Must come first: the upstream would otherwise get calls at its usual rate.
      onOwnZoneRestored();
    }
    onChange();
  });

  return {
    permission,
    whenKnown: () => known,
    refusal: () => refusals[permission()],
    memberState: (state) => (state === 'ready' ? readyStates[permission()] : state),
    close: () => subscription.unsubscribe(),
  };
}
