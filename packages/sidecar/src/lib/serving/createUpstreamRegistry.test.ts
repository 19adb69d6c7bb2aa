import type { ServiceId, UpstreamId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import type { MemberDeparture } from '@buckthornslip/membership';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createUpstreamRegistry } from './createUpstreamRegistry';
import type { UpstreamInstance } from './UpstreamInstance';

const instance = (changed: Partial<UpstreamInstance> = {}): UpstreamInstance => ({
  id: 'i-1' as UpstreamId,
  startedMilliseconds: 100,
  sequence: 1,
  service: 'a' as ServiceId,
  address: '127.0.0.1:1',
  slots: 4,
  state: 'ready',
  coldStartMilliseconds: 0,
  ...changed,
});

function createRegistry() {
  const clock = createFakeClock();
  const states: string[] = [];
  const departures: MemberDeparture[] = [];
  const starts: string[] = [];
  const registry = createUpstreamRegistry({
    clock,
    logger: createSilentLogger(),
    announcementMilliseconds: 1_000,
    onAnnouncement: () => undefined,
    onChange: ({ state }) => states.push(state),
    onStart: ({ id }, previous) => starts.push(`${previous?.id ?? 'none'} to ${id}`),
    onDeparture: (departure) => departures.push(departure),
  });
  return { clock, departures, registry, starts, states };
}

// Guards against a late announcement that marks a draining upstream as ready.
void t.test('an outdated announcement has no effect', async (test) => {
  const { registry, states } = createRegistry();
  registry.announce(instance({ sequence: 2, state: 'draining' }));
  test.notOk(registry.announce(instance({ sequence: 1 })));
  test.same(states, ['draining']);
});

// Guards against a draining upstream that announces "ready" again within the same start.
void t.test('a draining upstream stays draining', async (test) => {
  const { registry } = createRegistry();
  registry.announce(instance({ sequence: 2, state: 'draining' }));
  registry.announce(instance({ sequence: 3 }));
  test.equal(registry.current()?.state, 'draining');
});

// Guards against new work for an upstream that states in a response that it is leaving, and announces "ready" late.
void t.test('an upstream that says it is leaving stays draining', async (test) => {
  const { registry, states } = createRegistry();
  registry.announce(instance({ sequence: 2 }));
  registry.markLeaving();
  registry.announce(instance({ sequence: 3 }));
  test.equal(registry.current()?.state, 'draining');
  registry.leave('i-1' as UpstreamId);
  registry.markLeaving();
  test.same(states, ['ready', 'draining', 'left']);
});

// Guards against an announcement of a departed or replaced upstream that is delayed by a network partition.
void t.test('an earlier start does not replace a later one', async (test) => {
  const { registry } = createRegistry();
  registry.announce(instance({ id: 'i-2' as UpstreamId, startedMilliseconds: 200 }));
  test.notOk(registry.announce(instance({ sequence: 9 })));
  test.equal(registry.current()?.instance.id, 'i-2');
});

// Guards against ignoring an upstream indefinitely because it restarts with its earlier id.
void t.test('a new start with the same id is accepted', async (test) => {
  const { registry } = createRegistry();
  registry.announce(instance({ sequence: 9 }));
  registry.leave('i-1' as UpstreamId);
  test.equal(registry.current()?.state, 'left');
  test.notOk(registry.announce(instance({ sequence: 10 })));
  test.ok(registry.announce(instance({ startedMilliseconds: 300, sequence: 1 })));
  test.equal(registry.current()?.state, 'ready');
});

// Guards against sending calls to an upstream that has stopped announcing itself.
void t.test(
  'an upstream without announcements is lost until its next announcement',
  async (test) => {
    const { clock, registry, states } = createRegistry();
    registry.announce(instance());
    await clock.advance(3_900);
    test.equal(registry.current()?.state, 'ready');
    await clock.advance(200);
    test.equal(registry.current()?.state, 'lost');
    registry.announce(instance({ sequence: 2 }));
    test.same(states, ['ready', 'lost', 'ready']);
  },
);

// Guards against a late announcement that puts a departed upstream in use again after its node has restarted.
void t.test('a departure that an earlier process acknowledged is binding', async (test) => {
  const start = { id: 'i-1' as UpstreamId, startedMilliseconds: 100 };
  const late = createRegistry();
  late.registry.announce(instance());
  late.registry.restoreDeparture({ ...start, state: 'left' });
  test.equal(late.registry.current()?.state, 'left', 'announced before the departure was known');
  const early = createRegistry();
  early.registry.restoreDeparture({ ...start, state: 'left' });
  test.notOk(early.registry.announce(instance({ sequence: 9 })));
  const draining = createRegistry();
  draining.registry.restoreDeparture({ ...start, state: 'draining' });
  draining.registry.announce(instance({ sequence: 9 }));
  test.equal(draining.registry.current()?.state, 'draining');
  draining.registry.announce(instance({ startedMilliseconds: 200 }));
  test.equal(draining.registry.current()?.state, 'ready', 'a later start is not affected');
});

// Guards against a late announcement that puts an upstream in use again whose departure was acknowledged by a node that had
// just started and did not know the upstream yet.
void t.test('a departure before the first announcement is binding', async (test) => {
  const { clock, departures, registry, states } = createRegistry();
  const id = 'i-1' as UpstreamId;
  const startedMilliseconds = clock.wallMilliseconds() - 60_000;
  registry.leave(id);
  test.match(departures, [{ id, state: 'left' }], 'the other nodes can be told');
  await clock.advance(2_000);
  test.notOk(registry.announce(instance({ startedMilliseconds, sequence: 9 })));
  test.equal(registry.current(), undefined);
  const restarted = instance({ startedMilliseconds: clock.wallMilliseconds() });
  test.ok(registry.announce(restarted), 'a later start with the same id is not affected');
  test.same(states, ['ready']);
});

// Guards against a late announcement of a departed upstream that replaces the upstream which is in use.
void t.test('a departure of an upstream that is not in use is binding', async (test) => {
  const { registry } = createRegistry();
  const startedMilliseconds = 0;
  registry.announce(instance({ id: 'i-2' as UpstreamId, startedMilliseconds }));
  registry.leave('i-1' as UpstreamId);
  test.notOk(registry.announce(instance({ startedMilliseconds, sequence: 9 })));
  test.match(registry.current(), { instance: { id: 'i-2' }, state: 'ready' });
});

// Guards against a late departure of an earlier start that ends the use of an upstream which was restarted with its id.
void t.test('a departure that names its start does not affect a later start', async (test) => {
  const { registry } = createRegistry();
  registry.announce(instance({ startedMilliseconds: 200 }));
  registry.leave('i-1' as UpstreamId, 100);
  test.equal(registry.current()?.state, 'ready');
  test.notOk(registry.announce(instance({ startedMilliseconds: 100, sequence: 9 })));
  registry.leave('i-1' as UpstreamId, 200);
  test.equal(registry.current()?.state, 'left');
});

// Guards against a departure that is forgotten because an earlier process of the node had acknowledged less.
void t.test('an older departure does not replace a newer one', async (test) => {
  const { registry } = createRegistry();
  const id = 'i-1' as UpstreamId;
  registry.restoreDeparture({ id, startedMilliseconds: 200, state: 'left' });
  registry.restoreDeparture({ id, startedMilliseconds: 200, state: 'draining' });
  registry.restoreDeparture({ id, startedMilliseconds: 100, state: 'left' });
  test.notOk(registry.announce(instance({ startedMilliseconds: 200, sequence: 9 })));
});

// Guards against a restart that goes unnoticed because the upstream has kept its id, its state and its slots.
void t.test('each start of the upstream is reported once', async (test) => {
  const { registry, starts } = createRegistry();
  registry.announce(instance({ sequence: 1 }));
  registry.announce(instance({ sequence: 2 }));
  registry.announce(instance({ sequence: 1, startedMilliseconds: 1_000_000 }));
  test.equal(starts.length, 2);
});

// Guards against an upstream that is never used because the clock of its host was ahead when its predecessor started.
void t.test('an earlier start takes the place of a silent one', async (test) => {
  const { clock, registry, starts } = createRegistry();
  const ahead = instance({ startedMilliseconds: 900 });
  const next = instance({ id: 'i-2' as UpstreamId, startedMilliseconds: 200 });
  registry.announce(ahead);
  await clock.advance(3_900);
  test.notOk(registry.announce(next), 'the later start may still be alive');
  await clock.advance(200);
  test.ok(registry.announce({ ...next, sequence: 2 }));
  test.match(registry.current(), { instance: { id: 'i-2' }, state: 'ready' });
  test.same(starts, ['none to i-1', 'i-1 to i-2']);
});

// Guards against the same after a planned departure, which ends the announcements as well.
void t.test('an earlier start takes the place of one that has left or drains', async (test) => {
  const next = instance({ id: 'i-2' as UpstreamId, startedMilliseconds: 200 });
  const left = createRegistry();
  left.registry.announce(instance({ startedMilliseconds: 900 }));
  left.registry.leave('i-1' as UpstreamId);
  await left.clock.advance(4_100);
  test.ok(left.registry.announce(next));
  const draining = createRegistry();
  draining.registry.announce(instance({ startedMilliseconds: 900, state: 'draining' }));
  await draining.clock.advance(4_100);
  test.ok(draining.registry.announce(next));
});

// Guards against a late announcement that restores an outdated state of a silent upstream, or an upstream that has left.
void t.test('a silent upstream is not replaced by its own past', async (test) => {
  const { clock, registry } = createRegistry();
  registry.announce(instance({ sequence: 5, slots: 8 }));
  await clock.advance(4_100);
  test.notOk(registry.announce(instance({ sequence: 4 })));
  registry.leave('i-1' as UpstreamId);
  test.notOk(registry.announce(instance({ sequence: 9 })));
  test.equal(registry.current()?.state, 'left');
});

// Guards against an upstream that is used after its draining was acknowledged, because a later start was in use at that time.
void t.test('the draining of an upstream that is not in use is binding', async (test) => {
  const { clock, registry } = createRegistry();
  registry.announce(instance({ id: 'i-2' as UpstreamId, startedMilliseconds: 900 }));
  registry.announce(instance({ sequence: 5, state: 'draining' }));
  await clock.advance(4_100);
  registry.announce(instance({ sequence: 4 }));
  test.match(registry.current(), { instance: { id: 'i-1' }, state: 'draining' });
});
