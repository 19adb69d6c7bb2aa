import { Readable } from 'node:stream';

import { createCallScope } from '@buckthornslip/calls';
import type { AccountId, ServiceId, UpstreamId } from '@buckthornslip/common';
import { createFakeClock, createSeededRandom } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import type { CallAttempt } from './CallAttempt';
import { createSuspects } from './createSuspects';
import type { CallEnding, Suspects } from './createSuspects';
import type { UpstreamInstance } from './UpstreamInstance';
import { FULL_ANSWER_WINDOW_BYTES } from './FULL_ANSWER_WINDOW_BYTES';

const SEED = 20_261_205;
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
    answerWindowBytes: FULL_ANSWER_WINDOW_BYTES,
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
  const starts: number[] = [];
  const random = createSeededRandom(SEED);
  const nodes: Suspects[] = [];
  const createNode = (index: number): Suspects =>
    createSuspects({
      clock,
      random,
      logger: createSilentLogger(),
      refusesConnections: async () => refused.has(index),
      isTrialNode: () => index === 1,
      onCrash: () => crashes.push(index),
      peers: () =>
        nodes.flatMap((_node, other) =>
          other === index || cut.has(index) || cut.has(other)
            ? []
            : [{ share: (suspects) => nodes[other]?.merge(suspects) }],
        ),
    });
  for (let index = 0; index < count; index += 1) nodes.push(createNode(index));
  /** The current start of a node's upstream. */
  const upstreamOf = (index: number): UpstreamInstance => ({
    id: `upstream-${index}` as UpstreamId,
    startedMilliseconds: starts[index] ?? 0,
    sequence: 1,
    service: 'service' as ServiceId,
    address: `127.0.0.1:${index}`,
    slots: 1,
    state: 'ready',
    coldStartMilliseconds: 0,
  });
  /** Runs one call. */
  const run = (index: number, call: CallAttempt, ending: CallEnding): void =>
    nodes[index]!.begin(call, upstreamOf(index)).end(ending);
  const restartUpstream = (index: number): void => {
    starts[index] = (starts[index] ?? 0) + 1;
  };
  /** Runs calls whose upstream crashes. */
  const crash = async (index: number, calls: readonly CallAttempt[]): Promise<void> => {
    refused.add(index);
    const running = calls.map((call) => nodes[index]!.begin(call, upstreamOf(index)));
    running.forEach(({ end }) => end('lost'));
    await clock.advance(100);
    refused.delete(index);
    restartUpstream(index);
  };
  const restart = (index: number): void => {
    nodes[index]!.close();
    nodes[index] = createNode(index);
  };
  return { nodes, cut, crash, crashes, restart, restartUpstream, run, upstreamOf };
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
  const { crashes, nodes, run } = createNodes(2);
  for (let count = 0; count < 5; count += 1) {
    run(0, callOf(), 'lost');
    await clock.advance(100);
  }
  test.equal(nodes[0]!.check(callOf({ isRepeat: true })), undefined);
  test.same(crashes, []);
});

// Guards against refusing requests that happened to run when upstreams crashed, and that succeed elsewhere.
void t.test('a request that is answered is no longer suspected', async (test) => {
  const { crash, nodes, run } = createNodes(3);
  const innocent = callOf({ target: '/innocent' });
  await crash(0, [callOf(), innocent]);
  await crash(1, [callOf(), innocent]);
  run(2, innocent, 'answered');
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

// Guards against two nodes that see a crash at the same moment, and count it as one.
void t.test('crashes at the same moment add up', async (test) => {
  const { crash, cut, nodes } = createNodes(4);
  [0, 1, 2].forEach((index) => cut.add(index));
  for (const index of [0, 1, 2]) await crash(index, [callOf()]);
  nodes.forEach((node) => test.equal(node.check(callOf()), undefined));
  cut.clear();
  await clock.advance(5_000);
  nodes.forEach((node) => test.match(node.check(callOf()), { reason: 'suspected-crash' }));
});

// Guards against clearing a request that has crashed upstreams because of a response that says nothing about it.
void t.test(
  'a response that does not come from running the request clears nothing',
  async (test) => {
    const { crash, nodes, run } = createNodes(3);
    for (const index of [0, 1, 2]) await crash(index, [callOf()]);
    run(0, callOf(), 'rejected');
    run(0, callOf(), 'abandoned');
    test.match(nodes[0]!.check(callOf()), { reason: 'suspected-crash' });
  },
);

// Guards against a crash that is noticed only when the successor announces itself or answers in its place.
void t.test('a successor shows that the calls before it were lost', async (test) => {
  const { nodes, restartUpstream, run, upstreamOf } = createNodes(4);
  for (const index of [0, 1, 2]) {
    const upstream = upstreamOf(index);
    run(index, callOf(), 'abandoned');
    restartUpstream(index);
    await clock.advance(3_000);
    nodes[index]!.recordEnd(upstream, index === 1 ? 'wrong-instance' : 'successor-announced');
  }
  test.match(nodes[3]!.check(callOf()), { reason: 'suspected-crash' });
});

// Guards against a call that is still waiting for its response when the upstream has already been replaced.
void t.test('a call that is running when the upstream is replaced is a suspect', async (test) => {
  const { nodes, upstreamOf } = createNodes(2);
  nodes[0]!.begin(callOf(), upstreamOf(0));
  nodes[0]!.recordEnd(upstreamOf(0), 'successor-announced');
  nodes[1]!.begin(callOf(), upstreamOf(1));
  nodes[1]!.recordEnd(upstreamOf(1), 'successor-announced');
  test.match(nodes[1]!.check(callOf({ isRepeat: true })), { reason: 'suspected-crash' });
});

// Guards against a request that crashes upstreams after it was abandoned, while they go on answering others.
void t.test(
  'an abandoned call is a suspect although the upstream has answered later ones',
  async (test) => {
    const { nodes, run, upstreamOf } = createNodes(2);
    for (const index of [0, 1]) {
      run(index, callOf(), 'abandoned');
      await clock.advance(500);
      run(index, callOf({ target: '/other' }), 'answered');
      await clock.advance(500);
      nodes[index]!.recordEnd(upstreamOf(index), 'successor-announced');
    }
    test.match(nodes[0]!.check(callOf({ isRepeat: true })), { reason: 'suspected-crash' });
  },
);

// Guards against suspecting calls that failed before the upstream answered later ones and was replaced.
void t.test('calls that the upstream has survived are no suspects', async (test) => {
  const { crashes, nodes, run, upstreamOf } = createNodes(2);
  for (const index of [0, 1]) {
    run(index, callOf(), 'abandoned');
    await clock.advance(3_100);
    run(index, callOf(), 'lost');
    await clock.advance(100);
    run(index, callOf({ target: '/other' }), 'answered');
    nodes[index]!.recordEnd(upstreamOf(index), 'successor-announced');
  }
  test.same(crashes, []);
  test.equal(nodes[0]!.check(callOf({ isRepeat: true })), undefined);
});

// Guards against suspecting calls that were running when an upstream ended as planned, or that it never received.
void t.test('a departure and calls that were not sent make no suspects', async (test) => {
  const { crashes, nodes, run, upstreamOf } = createNodes(1);
  run(0, callOf(), 'abandoned');
  nodes[0]!.recordDeparture(upstreamOf(0));
  run(0, callOf(), 'unsent');
  nodes[0]!.recordEnd(upstreamOf(0), 'successor-announced');
  test.same(crashes, []);
});

// Guards against requests with long bodies that are never recognised.
void t.test('requests with equal streamed bodies are equal', async (test) => {
  const { crash, nodes } = createNodes(3);
  const streamed = (text: string, length: number): CallAttempt => {
    const head = Buffer.from(text);
    return callOf({ body: { kind: 'stream', stream: Readable.from([]), length, head } });
  };
  for (const index of [0, 1, 2]) await crash(index, [streamed('culprit', 100_000)]);
  test.match(nodes[0]!.check(streamed('culprit', 100_000)), { reason: 'suspected-crash' });
  test.equal(nodes[0]!.check(streamed('culprit', 100_001)), undefined);
  test.equal(nodes[0]!.check(streamed('another', 100_000)), undefined);
});

// Guards against a crash of which a node learns nothing because it was cut off when it happened.
void t.test('a node that was cut off learns a first crash', async (test) => {
  const { crash, cut, nodes } = createNodes(3);
  cut.add(2);
  await crash(0, [callOf()]);
  cut.delete(2);
  await clock.advance(4_000);
  await crash(1, [callOf()]);
  test.match(nodes[2]!.check(callOf({ isRepeat: true })), { reason: 'suspected-crash' });
});

// Guards against a request that, once it is no longer refused, crashes all upstreams of the service at the same moment.
void t.test('after its refusal a request is tried once, at one node', async (test) => {
  const { crash, nodes, upstreamOf } = createNodes(4);
  for (const index of [0, 1, 2]) await crash(index, [callOf()]);
  await clock.advance(61_000);
  const admitted = nodes.flatMap((node, index) => (node.check(callOf()) ? [] : [index]));
  test.same(admitted, [1]);
  const trial = nodes[1]!.begin(callOf(), upstreamOf(1));
  test.match(nodes[1]!.check(callOf()), { reason: 'suspected-crash' });
  trial.end('answered');
  nodes.forEach((node) => test.equal(node.check(callOf({ isRepeat: true })), undefined));
});

// Guards against a longer series of crashes because a trial counts for less than the crashes before it.
void t.test('a request that crashes its trial is refused for longer', async (test) => {
  const { crash, nodes } = createNodes(4);
  for (const index of [0, 1, 2]) await crash(index, [callOf()]);
  await clock.advance(61_000);
  await crash(1, [callOf()]);
  await clock.advance(110_000);
  nodes.forEach((node) => test.match(node.check(callOf()), { reason: 'suspected-crash' }));
});

// Guards against a request that other nodes go on refusing although an upstream has answered it.
void t.test('all nodes learn that a request has been answered', async (test) => {
  const { crash, nodes, run } = createNodes(4);
  const innocent = callOf({ target: '/innocent' });
  await crash(0, [innocent]);
  await crash(1, [innocent]);
  test.match(nodes[3]!.check({ ...innocent, isRepeat: true }), { reason: 'suspected-crash' });
  run(2, innocent, 'answered');
  await clock.advance(5_000);
  nodes.forEach((node) => test.equal(node.check({ ...innocent, isRepeat: true }), undefined));
});
