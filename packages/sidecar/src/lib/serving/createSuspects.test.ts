import { createCallScope } from '@buckthornslip/calls';
import type { AccountId, ServiceId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import type { CallAttempt } from './CallAttempt';
import { createSuspects } from './createSuspects';
import type { Suspects } from './createSuspects';

const SEED = 20_261_205;
const ADDRESS = '127.0.0.1:1';
const clock = createFakeClock();

function callOf(changed: Partial<CallAttempt> = {}): CallAttempt {
  return {
    requestId: 'request',
    route: 'route',
    service: 'service' as ServiceId,
    account: 'account' as AccountId,
    chargedAccount: undefined,
    callerService: 'caller' as ServiceId,
    rank: 0,
    isNested: false,
    isRepeat: false,
    repeatable: true,
    method: 'GET',
    target: '/culprit',
    headers: [],
    body: { kind: 'whole', bytes: Buffer.alloc(0) },
    scope: createCallScope(clock, 60_000),
    ...changed,
  };
}

/** The nodes of one service, which share their suspects unless they are cut off. */
function createNodes(count: number) {
  const cut = new Set<number>();
  const refused = new Set<number>();
  const crashes: number[] = [];
  const random = createSeededRandom(SEED);
  const nodes: Suspects[] = [];
  const createNode = (index: number): Suspects =>
    createSuspects({
      clock,
      random,
      logger: createSilentLogger(),
      refusesConnections: async () => refused.has(index),
      onCrash: () => crashes.push(index),
      peers: () =>
        nodes.flatMap((_node, other) =>
          other === index || cut.has(index) || cut.has(other)
            ? []
            : [{ share: (suspects) => nodes[other]?.merge(suspects) }],
        ),
    });
  for (let index = 0; index < count; index += 1) nodes.push(createNode(index));
  /** Runs calls whose upstream crashes. */
  const crash = async (index: number, calls: readonly CallAttempt[]): Promise<void> => {
    refused.add(index);
    calls.forEach((call) => nodes[index]!.recordReset(call, ADDRESS));
    await clock.advance(100);
    refused.delete(index);
  };
  const restart = (index: number): void => {
    nodes[index]!.close();
    nodes[index] = createNode(index);
  };
  return { nodes, cut, crash, crashes, restart };
}

// Guards against a request that crashes one upstream after the other because each node knows only its own.
void t.test('a request that has crashed three upstreams is refused by all nodes', async (test) => {
  const { crash, crashes, nodes } = createNodes(5);
  for (const index of [0, 1, 2]) {
    test.equal(nodes[index]!.check(callOf()), undefined);
    await crash(index, [callOf()]);
  }
  test.same(crashes, [0, 1, 2]);
  nodes.forEach((node) => {
    test.match(node.check(callOf()), { reason: 'suspected-crash', outcome: 'not-run' });
    test.equal(node.check(callOf({ target: '/other' })), undefined);
  });
});

// Guards against retries by the system of a request that has already crashed two upstreams.
void t.test('a request that has crashed two upstreams is not retried', async (test) => {
  const { crash, nodes } = createNodes(3);
  await crash(0, [callOf()]);
  test.equal(nodes[2]!.check(callOf({ isRepeat: true })), undefined);
  await crash(1, [callOf({ isRepeat: true })]);
  test.match(nodes[2]!.check(callOf({ isRepeat: true })), { reason: 'suspected-crash' });
  test.equal(nodes[2]!.check(callOf()), undefined);
});

// Guards against suspecting calls whose connection was reset by an upstream that is still there.
void t.test('a reset connection of a running upstream makes no suspect', async (test) => {
  const { crashes, nodes } = createNodes(2);
  for (let count = 0; count < 5; count += 1) {
    nodes[0]!.recordReset(callOf(), ADDRESS);
    await clock.advance(100);
  }
  test.equal(nodes[0]!.check(callOf({ isRepeat: true })), undefined);
  test.same(crashes, []);
});

// Guards against refusing requests that happened to run when upstreams crashed, and that succeed elsewhere.
void t.test('a request that is answered is no longer suspected', async (test) => {
  const { crash, nodes } = createNodes(3);
  const innocent = callOf({ target: '/innocent' });
  await crash(0, [callOf(), innocent]);
  await crash(1, [callOf(), innocent]);
  nodes[2]!.recordAnswer(innocent);
  test.equal(nodes[2]!.check({ ...innocent, isRepeat: true }), undefined);
  test.match(nodes[2]!.check(callOf({ isRepeat: true })), { reason: 'suspected-crash' });
});

// Guards against a bound that a restart or a cut of a node lifts.
void t.test('a node that was restarted or cut off learns the suspects', async (test) => {
  const { crash, cut, nodes, restart } = createNodes(5);
  cut.add(4);
  for (const index of [0, 1, 2]) await crash(index, [callOf()]);
  test.equal(nodes[4]!.check(callOf()), undefined);
  restart(3);
  cut.delete(4);
  await clock.advance(4_000);
  test.match(nodes[3]!.check(callOf()), { reason: 'suspected-crash' });
  test.match(nodes[4]!.check(callOf()), { reason: 'suspected-crash' });
});

// Guards against suspects that nodes keep alive by telling each other, after the upstreams have been repaired.
void t.test('suspects expire on all nodes', async (test) => {
  const { crash, nodes } = createNodes(5);
  for (const index of [0, 1, 2]) await crash(index, [callOf()]);
  await clock.advance(180_000);
  nodes.forEach((node) => test.equal(node.check(callOf({ isRepeat: true })), undefined));
});

// Guards against requests that are taken for one another: the body, the account and the route distinguish them.
void t.test('only equal requests are suspected', async (test) => {
  const { crash, nodes } = createNodes(3);
  const body = { kind: 'whole', bytes: Buffer.from('culprit') } as const;
  const culprit = callOf({ method: 'POST', body, repeatable: false });
  for (const index of [0, 1, 2]) await crash(index, [culprit]);
  test.match(nodes[0]!.check({ ...culprit, requestId: 'again', headers: ['Name', 'value'] }), {
    reason: 'suspected-crash',
  });
  const others = [
    { ...culprit, body: { kind: 'whole', bytes: Buffer.from('other') } as const },
    { ...culprit, account: 'other' as AccountId },
    { ...culprit, route: 'other' },
    { ...culprit, method: 'PUT' },
  ];
  others.forEach((call) => test.equal(nodes[0]!.check(call), undefined));
});
