import { connect } from 'node:net';

import { createCallScope, refuse } from '@buckthornslip/calls';
import type { HostId, Incarnation, ServiceId } from '@buckthornslip/common';
import { createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import fc from 'fast-check';
import t from 'tap';

import type { CallAttempt } from '../serving/CallAttempt';
import { createTurnPacer } from '../process/createTurnPacer';
import { reserveAddress } from '../testing/reserveAddress';
import { createPeerLink } from './createPeerLink';
import { createPeerListener } from './createPeerListener';
import { createTicker } from './createTicker';
import { createFrameReader, encodeFrame } from './frameCodec';
import type { PeerHandlers } from './PeerHandlers';
import { FULL_ANSWER_WINDOW_BYTES } from '../serving/FULL_ANSWER_WINDOW_BYTES';

const SEED = 20_261_204;

const clock = createSystemClock();
const logger = createSilentLogger();
const keepAlive = setInterval(() => undefined, 1_000);
t.teardown(() => clearInterval(keepAlive));

const identity = (host: string) => ({ host: host as HostId, incarnation: 1 as Incarnation });

async function startNode(changed: Partial<PeerHandlers>) {
  const listener = createPeerListener(
    {
      clock,
      logger,
      pacer: createTurnPacer(() => 0),
      self: identity('serving'),
      onReceived: () => undefined,
      answerBytes: 1_048_576,
    },
    {
      serve: async () => ({ answer: refuse('queue-full'), load: undefined }),
      grant: async () => ({ tokens: 1, retryAfterMilliseconds: 0 }),
      exchange: (fields) => fields,
      mergeSuspects: () => undefined,
      recordInterrupted: () => undefined,
      ...changed,
    },
  );
  const address = await reserveAddress();
  await listener.listen(address);
  const link = createPeerLink({
    clock,
    logger,
    ticker: createTicker(clock, 50),
    self: identity('entry'),
    onReceived: () => undefined,
    address,
  });
  const close = (): void => {
    link.close();
    listener.close();
  };
  return { address, link, close };
}

function createCall(): CallAttempt {
  return {
    requestId: 'request',
    route: 'route',
    service: 'service' as ServiceId,
    account: undefined,
    chargedAccount: undefined,
    callerService: 'caller' as ServiceId,
    rank: 0,
    isNested: false,
    isRepeat: false,
    repeatable: false,
    answerWindowBytes: FULL_ANSWER_WINDOW_BYTES,
    method: 'POST',
    target: '/',
    headers: [],
    body: { kind: 'whole', bytes: Buffer.alloc(0) },
    scope: createCallScope(clock, 5_000),
  };
}

/** Writes bytes on a new connection and waits until the other side closes it or a short time has passed. */
function sendBytes(address: string, bytes: Uint8Array): Promise<void> {
  return new Promise((resolve) => {
    const [host, port] = address.split(':');
    const socket = connect(Number(port), host);
    const timer = setTimeout(() => socket.destroy(), 20);
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve();
    });
    socket.write(bytes);
  });
}

// Guards against an unexpected error while serving one call that ends the process or leaves its caller without an
// answer.
void t.test('a call whose handler fails is answered as "may have run"', async (test) => {
  const node = await startNode({ serve: () => Promise.reject(new Error('unexpected')) });
  const { answer } = await node.link.call(createCall());
  test.match(answer, { kind: 'refusal', reason: 'upstream-failed', outcome: 'may-have-run' });
  node.close();
});

// Guards against an unexpected error in the handler of one message that ends the process.
void t.test('a message whose handler throws costs only its connection', async (test) => {
  let isFailing = true;
  const node = await startNode({
    exchange: (fields) => {
      if (isFailing) throw new Error('unexpected');
      return fields;
    },
  });
  const fields = {
    from: undefined,
    digest: '',
    policyRevision: 0,
    policyAgeMilliseconds: -1,
    members: [],
    wantsPolicy: false,
    policy: Buffer.alloc(0),
    update: false,
    evacuations: undefined,
    storeEra: 0,
  };
  test.equal(await node.link.exchange(fields), undefined);
  isFailing = false;
  test.match(await node.link.exchange(fields), { digest: '' });
  node.close();
});

// Guards against bytes from another process that make the frame decoder throw.
void t.test('the frame decoder accepts or rejects any bytes', async (test) => {
  const valid = encodeFrame({ $case: 'cancel', value: { id: 7 } });
  fc.assert(
    fc.property(
      fc.uint8Array({ maxLength: 64 }),
      fc.nat({ max: valid.length }),
      (bytes, position) => {
        const changed = Buffer.concat([
          valid.subarray(0, position),
          bytes,
          valid.subarray(position),
        ]);
        createFrameReader().push(changed);
      },
    ),
    { seed: SEED, numRuns: 2_000 },
  );
  test.pass('no input threw');
});

// Guards against one malformed message that affects the calls of other nodes.
void t.test('malformed bytes do not affect other connections', async (test) => {
  const node = await startNode({});
  const length = Buffer.from([0, 0, 0, 3]);
  await fc.assert(
    fc.asyncProperty(fc.uint8Array({ minLength: 3, maxLength: 40 }), async (bytes) => {
      await sendBytes(node.address, Buffer.concat([length, bytes]));
    }),
    { seed: SEED, numRuns: 40 },
  );
  const { answer } = await node.link.call(createCall());
  test.match(answer, { kind: 'refusal', reason: 'queue-full' });
  node.close();
});
