import type { ServiceId, UpstreamId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
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
  const registry = createUpstreamRegistry({
    clock,
    logger: createSilentLogger(),
    announcementMilliseconds: 1_000,
    onChange: ({ state }) => states.push(state),
  });
  return { clock, registry, states };
}

// Guards against a late announcement that brings a leaving upstream back.
void t.test('an announcement that was overtaken has no effect', async (test) => {
  const { registry, states } = createRegistry();
  registry.announce(instance({ sequence: 2, state: 'draining' }));
  test.notOk(registry.announce(instance({ sequence: 1 })));
  test.same(states, ['draining']);
});

// Guards against a leaving upstream that says "ready" once more within the same start.
void t.test('a leaving upstream stays leaving', async (test) => {
  const { registry } = createRegistry();
  registry.announce(instance({ sequence: 2, state: 'draining' }));
  registry.announce(instance({ sequence: 3 }));
  test.equal(registry.current()?.state, 'draining');
});

// Guards against an announcement, delayed by a partition, of an upstream that has left or was replaced.
void t.test('an earlier start does not replace a later one', async (test) => {
  const { registry } = createRegistry();
  registry.announce(instance({ id: 'i-2' as UpstreamId, startedMilliseconds: 200 }));
  test.notOk(registry.announce(instance({ sequence: 9 })));
  test.equal(registry.current()?.instance.id, 'i-2');
});

// Guards against an upstream that never comes back because it starts again under its earlier id.
void t.test('a new start under the same id counts anew', async (test) => {
  const { registry } = createRegistry();
  registry.announce(instance({ sequence: 9 }));
  registry.leave('i-1' as UpstreamId);
  test.equal(registry.current()?.state, 'left');
  test.notOk(registry.announce(instance({ sequence: 10 })));
  test.ok(registry.announce(instance({ startedMilliseconds: 300, sequence: 1 })));
  test.equal(registry.current()?.state, 'ready');
});

// Guards against calls that are sent to an upstream that has fallen silent.
void t.test('an upstream without announcements is lost, and comes back', async (test) => {
  const { clock, registry, states } = createRegistry();
  registry.announce(instance());
  await clock.advance(3_900);
  test.equal(registry.current()?.state, 'ready');
  await clock.advance(200);
  test.equal(registry.current()?.state, 'lost');
  registry.announce(instance({ sequence: 2 }));
  test.same(states, ['ready', 'lost', 'ready']);
});
