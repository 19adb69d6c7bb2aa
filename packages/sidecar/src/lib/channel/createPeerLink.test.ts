import { once } from 'node:events';
import type { AddressInfo, Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';

import type { Suspect } from '@buckthornslip/calls';
import { createCallScope, refuse } from '@buckthornslip/calls';
import type { Clock, HostId, Incarnation, ServiceId } from '@buckthornslip/common';
import { createFakeClock, createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import { fingerprintOf } from '../serving/fingerprintOf';
import type { InterruptedCall } from '../serving/InterruptedCall';
import { createTurnPacer } from '../process/createTurnPacer';
import { reserveAddress } from '../testing/reserveAddress';
import { createPeerLink } from './createPeerLink';
import { createPeerListener } from './createPeerListener';
import { createTicker } from './createTicker';
import type { PeerHandlers } from './PeerHandlers';
import { FULL_ANSWER_WINDOW_BYTES } from '../serving/FULL_ANSWER_WINDOW_BYTES';

const clock = createSystemClock();
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

const FIRST = 1 as Incarnation;
const SECOND = 2 as Incarnation;

/** A TCP relay between two nodes that simulates connection failures. */
interface Relay {
  readonly address: string;
  /** Resets all connections. */
  readonly reset: () => void;
  /** Keeps reading from open connections but forwards nothing, nor that one side has closed its connection. */
  readonly stopForwarding: () => void;
  /** Delays what later connections deliver, so that everything arrives at once. */
  readonly delayForwarding: (milliseconds: number) => void;
  /** Refuses further connections. */
  readonly refuse: () => void;
  /** Accepts connections again after they were refused. */
  readonly accept: () => void;
  /** Resets further connections as soon as they are accepted, or no more. */
  readonly setBlocked: (isBlocked: boolean) => void;
  readonly close: () => void;
}

function listenOnLoopback(server: Server): Promise<string> {
  return new Promise((resolve) => {
    server.listen(0, '127.0.0.1', () => {
      resolve(`127.0.0.1:${(server.address() as AddressInfo).port}`);
    });
  });
}

async function createRelay(target: () => string): Promise<Relay> {
  const sockets = new Set<Socket>();
  let delayMilliseconds = 0;
  let blocked = false;
  const server = createServer((incoming) => {
    if (blocked) {
      incoming.resetAndDestroy();
      return;
    }
    const [host, port] = target().split(':');
    const outgoing = connect(Number(port), host);
    [incoming, outgoing].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        sockets.delete(socket);
        incoming.destroy();
        outgoing.destroy();
      });
    });
    incoming.pipe(outgoing);
    const delayed: Buffer[] = [];
    const delay = (chunk: Buffer): void => {
      delayed.push(chunk);
    };
    outgoing.on('data', delay);
    setTimeout(() => {
      outgoing.off('data', delay);
      incoming.write(Buffer.concat(delayed));
      outgoing.pipe(incoming);
    }, delayMilliseconds);
  });
  const address = await listenOnLoopback(server);
  const reset = (): void => sockets.forEach((socket) => socket.resetAndDestroy());
  return {
    address,
    reset,
    stopForwarding: () => {
      sockets.forEach((socket) => {
        socket.unpipe();
        socket.removeAllListeners('close');
        socket.resume();
      });
    },
    delayForwarding: (milliseconds) => {
      delayMilliseconds = milliseconds;
    },
    refuse: () => server.close(),
    setBlocked: (isBlocked) => {
      blocked = isBlocked;
    },
    accept: () => server.listen(Number(address.split(':')[1]), '127.0.0.1'),
    close: () => {
      server.close();
      reset();
    },
  };
}

async function startNode(
  incarnation: Incarnation,
  serve: PeerHandlers['serve'],
  sessionClock: Clock = clock,
  changed: Partial<PeerHandlers> = {},
) {
  const self = { host: 'serving' as HostId, incarnation };
  const listener = createPeerListener(
    {
      clock: sessionClock,
      logger: createSilentLogger(),
      pacer: createTurnPacer(() => 0),
      self,
      onReceived: () => undefined,
      answerBytes: 1_048_576,
    },
    {
      serve,
      grant: async () => ({ tokens: 1, retryAfterMilliseconds: 0 }),
      exchange: (fields) => fields,
      mergeSuspects: () => undefined,
      recordInterrupted: () => undefined,
      ...changed,
    },
  );
  const address = await reserveAddress();
  await listener.listen(address);
  return { address, close: listener.close };
}

function openLink(address: string) {
  return createPeerLink({
    clock,
    logger: createSilentLogger(),
    ticker: createTicker(clock, 50),
    self: { host: 'entry' as HostId, incarnation: FIRST },
    onReceived: () => undefined,
    address,
  });
}

function callOf(changed: Partial<CallAttempt> = {}, timeoutMilliseconds = 5_000): CallAttempt {
  return {
    requestId: 'request',
    route: 'route',
    service: 'service' as ServiceId,
    account: undefined,
    chargedAccount: undefined,
    callerService: 'caller' as ServiceId,
    rank: 0,
    isNested: false,
    isRepeat: true,
    repeatable: false,
    answerWindowBytes: FULL_ANSWER_WINDOW_BYTES,
    method: 'POST',
    target: '/path',
    headers: ['Name', 'value'],
    body: { kind: 'whole', bytes: Buffer.from('body') },
    scope: createCallScope(clock, timeoutMilliseconds),
    ...changed,
  };
}

function answerOf(body: string, rest?: Readable): AttemptResult {
  const headers = ['Answer', 'yes'];
  const answer = { kind: 'answer', status: 200, headers, body: Buffer.from(body), rest } as const;
  return { answer, load: { running: 1, queued: 2, limit: 3, cutoffRank: 4 } };
}

// Guards against fields that are lost or changed in transit between two nodes.
void t.test('a call and its answer are transferred unchanged', async (test) => {
  let seen: CallAttempt | undefined;
  const node = await startNode(FIRST, async (call) => {
    seen = call;
    return answerOf('answer');
  });
  const link = openLink(node.address);
  const result = await link.call(callOf());
  test.match(seen, { requestId: 'request', route: 'route', headers: ['Name', 'value'] });
  test.equal(seen?.body.kind === 'whole' && seen.body.bytes.toString(), 'body');
  test.match(result.load, { running: 1, queued: 2, limit: 3, cutoffRank: 4 });
  test.equal(result.answer.kind === 'answer' && result.answer.body.toString(), 'answer');
  link.close();
  node.close();
});

// Guards against a call that runs twice, or whose answer is lost, when the connection is reset while it is running.
void t.test('the answer of a running call survives the loss of its connection', async (test) => {
  let runs = 0;
  const node = await startNode(FIRST, async () => {
    runs += 1;
    await clock.sleep(300);
    return answerOf('answer');
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const calling = link.call(callOf());
  await clock.sleep(100);
  relay.reset();
  const { answer } = await calling;
  test.equal(answer.kind === 'answer' && answer.body.toString(), 'answer');
  test.equal(runs, 1);
  link.close();
  relay.close();
  node.close();
});

// Guards against a call that waits until its deadline because its connection stopped delivering bytes without being
// closed.
void t.test('an unresponsive connection is replaced', async (test) => {
  const node = await startNode(FIRST, async () => {
    await clock.sleep(300);
    return answerOf('answer');
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const startedMilliseconds = clock.monotonicMilliseconds();
  const calling = link.call(callOf());
  await clock.sleep(100);
  relay.stopForwarding();
  const { answer } = await calling;
  test.equal(answer.kind, 'answer');
  test.ok(clock.monotonicMilliseconds() - startedMilliseconds < 3_000);
  link.close();
  relay.close();
  node.close();
});

// Guards against work that has run and is then reported as not run, so that it runs again at another node, after the
// nodes were cut off from each other for longer than calls are continued for a lost connection.
void t.test('the answer of a call survives a cut of three seconds', async (test) => {
  let runs = 0;
  const node = await startNode(FIRST, async () => {
    runs += 1;
    await clock.sleep(300);
    return answerOf('answer');
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const calling = link.call(callOf());
  await clock.sleep(100);
  relay.refuse();
  relay.reset();
  await clock.sleep(3_000);
  relay.accept();
  const { answer } = await calling;
  test.equal(answer.kind === 'answer' && answer.body.toString(), 'answer');
  test.equal(runs, 1);
  link.close();
  relay.close();
  node.close();
});

// Guards against a call that runs twice because the serving node takes a call of a forgotten session for one that it has
// not received.
void t.test('calls of a forgotten session may have run', async (test) => {
  const sessionClock = createFakeClock();
  let runs = 0;
  const node = await startNode(
    FIRST,
    async () => {
      runs += 1;
      await clock.sleep(100);
      return answerOf('answer');
    },
    sessionClock,
  );
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const calls = [link.call(callOf()), link.call(callOf())];
  await clock.sleep(50);
  relay.refuse();
  relay.reset();
  await clock.sleep(200);
  await sessionClock.advance(60_000);
  relay.accept();
  const results = await Promise.all(calls);
  test.strictSame(
    results.map(({ answer }) => answer.kind === 'refusal' && [answer.reason, answer.outcome]),
    [
      ['peer-unreachable', 'may-have-run'],
      ['peer-unreachable', 'may-have-run'],
    ],
  );
  test.equal(runs, 2);
  link.close();
  relay.close();
  node.close();
});

// Guards against a caller that is told that it has left, and against "not run" for a call that was started, when the
// serving node cancels the calls of a lost connection.
void t.test('a call that is cancelled during a cut may have run', async (test) => {
  const node = await startNode(FIRST, async ({ scope }) => {
    await new Promise<void>((resolve) => {
      scope.onCancel(resolve);
    });
    return {
      answer: refuse(scope.cancelReason() ?? 'caller-gone', 'may-have-run'),
      load: undefined,
    };
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const calling = link.call(callOf({}, 10_000));
  await clock.sleep(100);
  relay.refuse();
  relay.reset();
  await clock.sleep(2_500);
  relay.accept();
  test.match((await calling).answer, { reason: 'peer-unreachable', outcome: 'may-have-run' });
  link.close();
  relay.close();
  node.close();
});

// Guards against closing a connection as unresponsive because it was idle before the call.
void t.test('a call after an idle period reuses its connection', async (test) => {
  const node = await startNode(FIRST, async () => {
    await clock.sleep(300);
    return answerOf('answer');
  });
  let connections = 0;
  const relay = await createRelay(() => {
    connections += 1;
    return node.address;
  });
  const link = openLink(relay.address);
  await link.call(callOf());
  await clock.sleep(1_500);
  await link.call(callOf());
  test.equal(connections, 1);
  link.close();
  relay.close();
  node.close();
});

// Guards against reporting that a call has not run although its process may have run it before it ended.
void t.test('a process that has ended may have run its calls', async (test) => {
  let address = '';
  const earlier = await startNode(FIRST, async () => {
    await clock.sleep(60_000);
    return answerOf('first');
  });
  address = earlier.address;
  const relay = await createRelay(() => address);
  const link = openLink(relay.address);
  const calling = link.call(callOf());
  await clock.sleep(100);
  const later = await startNode(SECOND, async () => answerOf('second'));
  address = later.address;
  earlier.close();
  relay.reset();
  const { answer } = await calling;
  test.match(answer, { kind: 'refusal', reason: 'peer-unreachable', outcome: 'may-have-run' });
  link.close();
  relay.close();
  later.close();
});

// Guards against callers that wait for an unreachable node, and against an unnecessary "may-have-run".
void t.test('a call that was never sent has not run', async (test) => {
  const relay = await createRelay(() => '127.0.0.1:1');
  relay.refuse();
  const link = openLink(relay.address);
  const { answer } = await link.call(callOf());
  test.match(answer, { kind: 'refusal', reason: 'peer-unreachable', outcome: 'not-run' });
  link.close();
  relay.close();
});

// Guards against an upstream that continues to run a call whose caller has disconnected.
void t.test('a cancelled call is cancelled at the serving node', async (test) => {
  let reason: string | undefined;
  const node = await startNode(FIRST, async ({ scope }) => {
    await new Promise<void>((resolve) => {
      scope.onCancel(resolve);
    });
    reason = scope.cancelReason();
    return { answer: refuse('caller-gone', 'may-have-run'), load: undefined };
  });
  const link = openLink(node.address);
  const call = callOf();
  const calling = link.call(call);
  await clock.sleep(100);
  call.scope.cancel('caller-gone');
  test.match((await calling).answer, { reason: 'caller-gone', outcome: 'may-have-run' });
  await clock.sleep(100);
  test.equal(reason, 'caller-gone');
  link.close();
  node.close();
});

/** How the connection of a call is lost, and when its caller leaves after that, in milliseconds. */
const lostConnections = [
  { name: 'replaced at once', blockedMilliseconds: 0, leavesAfter: 150 },
  { name: 'replaced when the caller has left', blockedMilliseconds: 400, leavesAfter: 100 },
  { name: 'replaced before the caller leaves', blockedMilliseconds: 400, leavesAfter: 900 },
] as const;

// Guards against an upstream that continues to run a call whose caller has left after the connection to its node was lost.
lostConnections.forEach(({ blockedMilliseconds, leavesAfter, name }) => {
  void t.test(`a call is cancelled on the connection that was ${name}`, async (test) => {
    let cancelledMilliseconds = Infinity;
    const node = await startNode(FIRST, async ({ scope }) => {
      await new Promise<void>((resolve) => {
        scope.onCancel(resolve);
      });
      cancelledMilliseconds = clock.monotonicMilliseconds();
      return { answer: refuse('caller-gone', 'may-have-run'), load: undefined };
    });
    const relay = await createRelay(() => node.address);
    const link = openLink(relay.address);
    const call = callOf({}, 10_000);
    void link.call(call);
    await clock.sleep(100);
    const lost = clock.monotonicMilliseconds();
    relay.setBlocked(blockedMilliseconds > 0);
    relay.reset();
    const unblocked = clock.sleep(blockedMilliseconds).then(() => relay.setBlocked(false));
    await clock.sleep(leavesAfter);
    call.scope.cancel('caller-gone');
    const possibleMilliseconds = lost + Math.max(leavesAfter, blockedMilliseconds);
    await unblocked;
    await clock.sleep(700);
    const lateMilliseconds = cancelledMilliseconds - possibleMilliseconds;
    test.ok(lateMilliseconds < 500, `noticed ${lateMilliseconds} ms later`);
    link.close();
    relay.close();
    node.close();
  });
});

// Guards against the same when the connection has stopped delivering without being closed.
void t.test('a call is cancelled although its connection has gone silent', async (test) => {
  let isCancelled = false;
  const node = await startNode(FIRST, async ({ scope }) => {
    await new Promise<void>((resolve) => {
      scope.onCancel(resolve);
    });
    isCancelled = true;
    return { answer: refuse('caller-gone', 'may-have-run'), load: undefined };
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const call = callOf({}, 10_000);
  void link.call(call);
  await clock.sleep(100);
  relay.stopForwarding();
  call.scope.cancel('caller-gone');
  await clock.sleep(1_800);
  test.ok(isCancelled);
  link.close();
  relay.close();
  node.close();
});

// Guards against a busy node that runs calls of which it has received the cancellation as well.
void t.test('a call that is cancelled while it waits to be read is not run', async (test) => {
  const count = 200;
  let runs = 0;
  const node = await startNode(FIRST, async ({ scope }) => {
    runs += scope.cancelReason() === undefined ? 1 : 0;
    return answerOf('answer');
  });
  const link = openLink(node.address);
  await link.call(callOf());
  runs = 0;
  const calls = Array.from({ length: count }, () => callOf({}, 10_000));
  const calling = calls.map((call) => link.call(call));
  // The calls have been sent when the event loop turns.
  await clock.sleep(0);
  calls.forEach(({ scope }) => scope.cancel('caller-gone'));
  await Promise.all(calling);
  await clock.sleep(300);
  test.ok(runs < count / 4, `${runs} of ${count} were run`);
  link.close();
  node.close();
});

// Guards against an upstream that continues to run an attempt which its entry node has given up and repeated elsewhere.
void t.test('an attempt that could not be resumed is cancelled', async (test) => {
  let isCancelled = false;
  const node = await startNode(FIRST, async ({ scope }) => {
    await new Promise<void>((resolve) => {
      scope.onCancel(resolve);
    });
    isCancelled = true;
    return { answer: refuse('caller-gone', 'may-have-run'), load: undefined };
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const calling = link.call(callOf({ repeatable: true }, 10_000));
  await clock.sleep(100);
  relay.setBlocked(true);
  relay.reset();
  test.match((await calling).answer, { reason: 'peer-unreachable', outcome: 'may-have-run' });
  relay.setBlocked(false);
  await clock.sleep(800);
  test.ok(isCancelled);
  link.close();
  relay.close();
  node.close();
});

// Guards against memory use that grows with the body, and against a truncated or reordered body.
void t.test('long bodies are sent in parts, in both directions', async (test) => {
  const long = Array.from({ length: 200 }, (_, index) => `${index}`.padEnd(10_000, '.'));
  const node = await startNode(FIRST, async ({ body }) => {
    if (body.kind !== 'stream') throw new Error('expected a body in parts');
    const rest = await text(body.stream);
    return answerOf(
      body.head.toString(),
      Readable.from([Buffer.from(rest)], { objectMode: false }),
    );
  });
  const link = openLink(node.address);
  const stream = Readable.from(
    long.map((part) => Buffer.from(part)),
    { objectMode: false },
  );
  const body = { kind: 'stream', stream, length: undefined, head: Buffer.from('head') } as const;
  const { answer } = await link.call(callOf({ body }));
  if (answer.kind !== 'answer' || !answer.rest) throw new Error('expected an answer in parts');
  test.equal(answer.body.toString(), 'head');
  test.equal(await text(answer.rest), long.join(''));
  link.close();
  node.close();
});

// Guards against an answer in parts that appears complete although its connection was lost.
void t.test('an answer in parts that is interrupted fails', async (test) => {
  const node = await startNode(FIRST, async () => {
    const rest = new Readable({ read: () => undefined });
    rest.push('part');
    return answerOf('head', rest);
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const { answer } = await link.call(callOf());
  if (answer.kind !== 'answer' || !answer.rest) throw new Error('expected an answer in parts');
  const reading = text(answer.rest);
  relay.reset();
  await test.rejects(reading);
  link.close();
  relay.close();
  node.close();
});

// Guards against an answer that appears complete without the parts that were lost with its connection: the serving node
// sends the others, and the end, on the next connection before it has noticed the loss.
void t.test('an answer in parts does not go on over another connection', async (test) => {
  const rest = new Readable({ read: () => undefined });
  rest.on('error', () => undefined);
  const node = await startNode(FIRST, async () => answerOf('head', rest));
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const { answer } = await link.call(callOf());
  if (answer.kind !== 'answer' || !answer.rest) throw new Error('expected an answer in parts');
  const received = answer.rest;
  let isWhole = false;
  received.once('end', () => {
    isWhole = true;
  });
  received.resume();
  relay.stopForwarding();
  relay.delayForwarding(300);
  const pushing = setInterval(() => rest.push('part'), 5);
  await clock.sleep(1_400);
  clearInterval(pushing);
  if (!rest.destroyed) rest.push(null);
  await clock.sleep(300);
  test.ok(received.destroyed);
  test.notOk(isWhole);
  link.close();
  relay.close();
  node.close();
});

// Guards against an upload that reaches the upstream without the parts that were lost with its connection, and with its end.
void t.test('an upload in parts does not go on over another connection', async (test) => {
  let received: Promise<string> | undefined;
  const node = await startNode(FIRST, async ({ body }) => {
    if (body.kind !== 'stream') throw new Error('expected a body in parts');
    received = text(body.stream);
    await received.catch(() => undefined);
    return answerOf('answer');
  });
  const relay = await createRelay(() => node.address);
  const link = openLink(relay.address);
  const stream = new Readable({ read: () => undefined });
  const body = { kind: 'stream', stream, length: undefined, head: Buffer.from('head') } as const;
  const calling = link.call(callOf({ body }));
  await clock.sleep(100);
  relay.stopForwarding();
  stream.push('lost');
  await clock.sleep(50);
  relay.reset();
  const { answer } = await calling;
  test.match(answer, { reason: 'peer-unreachable', outcome: 'may-have-run' });
  // Another call opens the next connection.
  const { body: other } = callOf();
  void link.call(callOf({ body: other }));
  await clock.sleep(100);
  stream.push('rest');
  stream.push(null);
  await test.rejects(received as Promise<string>);
  test.notOk(stream.errored, 'the source can still be answered');
  link.close();
  relay.close();
  node.close();
});

// Guards against a long answer that stops for good, and can't be cancelled, because the serving node has forgotten it after many
// later answers or after the retention of answers.
void t.test('a slowly read answer goes on after many later answers', async (test) => {
  const sessionClock = createFakeClock();
  const restBytes = 2_000_000;
  const node = await startNode(
    FIRST,
    async ({ target }) => {
      if (target !== '/long') return answerOf('short');
      const chunks = Array.from({ length: restBytes / 10_000 }, () => Buffer.alloc(10_000));
      return answerOf('head', Readable.from(chunks, { objectMode: false }));
    },
    sessionClock,
  );
  const link = openLink(node.address);
  const { answer } = await link.call(callOf({ target: '/long' }, 20_000));
  if (answer.kind !== 'answer' || !answer.rest) throw new Error('expected an answer in parts');
  for (let later = 0; later < 300; later += 1) await link.call(callOf());
  await sessionClock.advance(6_000);
  await link.call(callOf());
  const { rest } = answer;
  let bytes = 0;
  rest.on('data', (chunk: Buffer) => {
    bytes += chunk.length;
  });
  await Promise.race([once(rest, 'end'), clock.sleep(2_000)]);
  test.equal(bytes, restBytes);
  link.close();
  node.close();
});

// Guards against an answer in parts that never ends and is received beyond the deadline of its call.
void t.test('an answer in parts ends at the deadline of its call', async (test) => {
  let isUpstreamClosed = false;
  const node = await startNode(FIRST, async () => {
    const rest = new Readable({ read: () => setImmediate(() => rest.push(Buffer.alloc(1_000))) });
    rest.once('close', () => {
      isUpstreamClosed = true;
    });
    return answerOf('head', rest);
  });
  const link = openLink(node.address);
  const { answer } = await link.call(callOf({}, 300));
  if (answer.kind !== 'answer' || !answer.rest) throw new Error('expected an answer in parts');
  const { rest } = answer;
  rest.resume();
  await new Promise((resolve) => {
    rest.once('close', resolve);
  });
  test.equal(rest.readableEnded, false, 'the answer does not appear complete');
  await clock.sleep(100);
  test.ok(isUpstreamClosed, 'the upstream response is closed as well');
  link.close();
  node.close();
});

// Guards against suspects that are lost or changed on the way to another node, or that keep no expiry.
void t.test('suspects are transferred unchanged', async (test) => {
  let merged: readonly Suspect[] = [];
  const serve = async (): Promise<AttemptResult> => answerOf('answer');
  const mergeSuspects = (suspects: readonly Suspect[]): void => {
    merged = suspects;
  };
  const node = await startNode(FIRST, serve, clock, { mergeSuspects });
  const link = openLink(node.address);
  const suspects = [
    {
      fingerprint: 'new',
      failures: 1,
      failureIds: ['a'],
      clearedIds: ['b'],
      remainingMilliseconds: undefined,
    },
    {
      fingerprint: 'known',
      failures: 3,
      failureIds: [],
      clearedIds: [],
      remainingMilliseconds: 1_500,
    },
  ];
  link.shareSuspects(suspects);
  await clock.sleep(100);
  test.strictSame(merged, suspects);
  link.close();
  node.close();
});

// Guards against a request that crashes whole hosts, whose nodes forget it: only the node that sent it knows what was lost.
void t.test(
  'a restarted node is told which calls were lost with its earlier process',
  async (test) => {
    const interrupted: InterruptedCall[] = [];
    const recordInterrupted = (calls: readonly InterruptedCall[]): void => {
      interrupted.push(...calls);
    };
    const earlier = await startNode(FIRST, () => new Promise(() => {}));
    let { address } = earlier;
    const relay = await createRelay(() => address);
    const link = openLink(relay.address);
    const calls = [
      callOf({ repeatable: true }),
      callOf({ repeatable: false, target: '/other' }),
      callOf({ target: '/late' }, 300),
    ];
    const calling = Promise.all(calls.map((call) => link.call(call)));
    await clock.sleep(100);
    earlier.close();
    relay.reset();
    await clock.sleep(400);
    const later = await startNode(SECOND, async () => answerOf('second'), clock, {
      recordInterrupted,
    });
    address = later.address;
    await calling;
    await link.call(callOf({ target: '/next' }));
    await clock.sleep(100);
    test.same(
      interrupted.map(({ fingerprint }) => fingerprint).sort(),
      calls.map(fingerprintOf).sort(),
    );
    interrupted.forEach(({ ageMilliseconds }) => test.ok(ageMilliseconds >= 400));
    link.close();
    relay.close();
    later.close();
  },
);

// Guards against suspecting calls whose connection was lost, although the process that ran them is still there.
void t.test(
  'calls of a process that has not ended are not reported as interrupted',
  async (test) => {
    let reports = 0;
    const recordInterrupted = (): void => {
      reports += 1;
    };
    const serve: PeerHandlers['serve'] = ({ target }) =>
      target === '/next' ? Promise.resolve(answerOf('next')) : new Promise(() => {});
    const node = await startNode(FIRST, serve, clock, { recordInterrupted });
    const relay = await createRelay(() => node.address);
    const link = openLink(relay.address);
    const calling = link.call(callOf({ repeatable: true }, 300));
    await clock.sleep(100);
    relay.reset();
    await calling;
    await clock.sleep(100);
    await link.call(callOf({ target: '/next' }));
    test.equal(reports, 0);
    link.close();
    relay.close();
    node.close();
  },
);
