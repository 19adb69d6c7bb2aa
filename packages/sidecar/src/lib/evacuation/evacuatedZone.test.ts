import type { HostId, Incarnation, RegionId, ServiceId, ZoneId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import { createSilentLogger } from '@buckthornslip/telemetry';
import { channelMessages } from '@buckthornslip/wire';
import { Subject } from 'rxjs';
import t from 'tap';

import { createEvacuationOrders } from './createEvacuationOrders';
import { createServingGate } from './createServingGate';
import { createStatementSender } from './createStatementSender';
import { createZoneMembership } from './createZoneMembership';
import { fromEvacuationFields, toEvacuationFields } from './evacuationCodec';

const SERVICE = 'service' as ServiceId;
const ZONE = 'a' as ZoneId;

const member = (zone: string): Member => ({
  host: `host-${zone}` as HostId,
  incarnation: 1 as Incarnation,
  version: 1,
  service: SERVICE,
  region: 'region' as RegionId,
  zone: zone as ZoneId,
  peerAddress: '127.0.0.1:7000',
  controlAddress: '127.0.0.1:7000',
  slots: 1,
  connections: 1,
  state: 'ready',
  alive: true,
});

function createOrders() {
  const clock = createFakeClock();
  const logger = createSilentLogger();
  const orders = createEvacuationOrders({
    clock,
    logger,
    keyPrefix: 'evacuate/',
    retentionMilliseconds: 4_000,
  });
  let revision = 0;
  const state = async (...zones: string[]): Promise<void> => {
    revision += 1;
    orders.learn({ era: 0, revision, zones: new Set(zones as ZoneId[]) }, 'node');
    await clock.advance(1);
  };
  return { clock, logger, orders, state };
}

// Guards against an upstream that gets calls while its zone is evacuated or that is not known, and against one that gets them
// after the evacuation before it is treated as cold.
void t.test('the gate of a node follows the orders', async (test) => {
  const { logger, orders, state } = createOrders();
  const calls: string[] = [];
  const gate = createServingGate({
    zone: ZONE,
    orders,
    logger,
    running: () => 0,
    onChange: () => calls.push(gate.permission()),
    onOwnZoneRestored: () => calls.push('restored'),
  });
  test.equal(gate.refusal()?.reason, 'no-upstream');
  await state('b');
  test.equal(gate.refusal(), undefined);
  await state('a', 'b');
  test.same(gate.refusal(), { kind: 'refusal', reason: 'zone-evacuated', outcome: 'not-run' });
  test.same([gate.memberState('ready'), gate.memberState('left')], ['draining', 'left']);
  await state('b');
  await state();
  test.equal(gate.memberState('ready'), 'ready');
  test.same(calls, ['allowed', 'evacuated', 'restored', 'allowed']);
  gate.close();
});

// Guards against routers that choose a member whose node has not announced yet that its zone is evacuated.
void t.test('members of evacuated zones are draining for routers', async (test) => {
  const { orders, state } = createOrders();
  const all = [member('a'), member('b')];
  const membership = createZoneMembership(
    {
      members: () => all,
      changes: () => new Subject<readonly Member[]>(),
      suspect: () => undefined,
    },
    orders,
  );
  const states = (members: readonly Member[]) => members.map((one) => one.state);
  const seen: unknown[] = [];
  membership.changes(SERVICE).subscribe((members) => seen.push(states(members)));
  await state('a');
  test.same(states(membership.members(SERVICE)), ['draining', 'ready']);
  test.same(states(await membership.waitForMembers(SERVICE, 1)), ['draining', 'ready']);
  await state();
  test.same(seen, [
    ['draining', 'ready'],
    ['ready', 'ready'],
  ]);
});

// Guards against an entry node that refuses its first calls because it knows only the members of evacuated zones yet.
void t.test('the first calls wait for members of other zones', async (test) => {
  const { orders, state } = createOrders();
  const changes = new Subject<readonly Member[]>();
  let all = [member('a')];
  const membership = createZoneMembership(
    {
      members: () => all,
      changes: () => changes,
      suspect: () => undefined,
    },
    orders,
  );
  await state('a');
  const found = membership.waitForMembers(SERVICE, 1_000);
  setImmediate(() => {
    all = [...all, member('b')];
    changes.next(all);
  });
  test.same(
    (await found).map((one) => one.state),
    ['draining', 'ready'],
  );
});

// Guards against messages that grow on deployments without orders, and against a node that is not told that an order has ended.
void t.test('orders are sent if there are any or the receiver may not know', async (test) => {
  const { clock, orders, state } = createOrders();
  const sender = createStatementSender(clock, orders);
  const informed = { policyRevision: 1, evacuations: undefined };
  test.equal(sender.toSend({ policyRevision: 0, evacuations: undefined }), undefined);
  await state();
  test.equal(sender.toSend(), undefined);
  test.equal(sender.toSend(informed), undefined);
  test.ok(sender.toSend({ policyRevision: 0, evacuations: undefined }), 'to a starting node');
  await state('a');
  const ordered = orders.statement();
  test.ok(sender.toSend());
  await state();
  test.equal(sender.toSend()?.zones.size, 0, 'the end is announced');
  await clock.advance(60_000);
  test.equal(sender.toSend(informed), undefined);
  test.equal(sender.toSend({ policyRevision: 1, evacuations: ordered })?.zones.size, 0);
  sender.close();
});

// Guards against orders that change on their way, messages that are too long, and malformed ones that are half accepted.
void t.test('orders in wire form', async (test) => {
  const zones = new Set(Array.from({ length: 8 }, (_, index) => `region-name-${index}` as ZoneId));
  const statement = { era: 3, revision: 4_000_000_000, zones };
  const fields = toEvacuationFields(statement) as channelMessages.Evacuations;
  const bytes = channelMessages.Evacuations.encode(fields).finish();
  test.ok(bytes.length < 200, `${bytes.length} bytes`);
  test.same(fromEvacuationFields(channelMessages.Evacuations.decode(bytes)), statement);
  test.equal(fromEvacuationFields({ ...fields, zones: ['a', 'b/c'] }), undefined);
  test.equal(fromEvacuationFields({ ...fields, revision: -1 }), undefined);
  test.equal(fromEvacuationFields(undefined), undefined);
});
