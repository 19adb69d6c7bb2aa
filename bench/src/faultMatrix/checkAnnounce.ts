import assert from 'node:assert/strict';

import type { ServiceId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { MemoryFleet } from '@buckthornslip/membership';
import { createMemoryFleet } from '@buckthornslip/membership';

import type { Fault } from './faults';

const SERVICE = 'draw' as ServiceId;
const SEED = 21;
const HOSTS = 8;
const DRAINING_HOST = 'host-4';

/** Limit of invariant 10 for the propagation of a state change, in milliseconds. */
const PROPAGATION_LIMIT_MILLISECONDS = 2_000;

const ZONES = ['riga-1', 'riga-2', 'daugavpils-1', 'daugavpils-2'];

const isInFirstRegion = (address: string): boolean =>
  Number(address.slice('host-'.length)) % ZONES.length < 2;

const faultInjectors: Partial<Record<Fault, (fleet: MemoryFleet) => void>> = {
  'store down': ({ store }) => store.setDown(true),
  'silent connection': ({ network }) => network.setLoss(0.1),
  'node crash': ({ crash }) => crash('host-1'),
  drain: () => undefined,
  'region cut': ({ network }) => network.partition(isInFirstRegion),
};

/**
 * Announces the state "draining" under a fault and checks that all nodes that are still reachable know it within 2 s.
 *
 * @param fault - Fault to inject just before the announcement.
 */
export async function checkAnnounce(fault: Fault): Promise<void> {
  const clock = createFakeClock();
  const fleet = createMemoryFleet(clock, SEED);
  const hosts = Array.from({ length: HOSTS }, (_, index) => `host-${index}`);
  hosts.forEach((host, index) => fleet.start(host, ZONES[index % ZONES.length] ?? '', SERVICE));
  await clock.advance(8_000);
  faultInjectors[fault]?.(fleet);
  const drainingNode = fleet.node(DRAINING_HOST);
  const { connections, slots } = drainingNode.self();
  const announcement = { service: SERVICE, address: '', slots, connections };
  drainingNode.announce({ ...announcement, state: 'draining', coldStartMilliseconds: 0 });
  await clock.advance(PROPAGATION_LIMIT_MILLISECONDS);
  const isReachable = (host: string): boolean =>
    !(fault === 'node crash' && host === 'host-1') &&
    !(fault === 'region cut' && isInFirstRegion(host) !== isInFirstRegion(DRAINING_HOST));
  for (const host of hosts.filter(isReachable)) {
    const known = fleet
      .node(host)
      .members(SERVICE)
      .find((member) => member.host === DRAINING_HOST);
    assert.equal(known?.state, 'draining', `10: ${host} still sends new calls`);
  }
}
