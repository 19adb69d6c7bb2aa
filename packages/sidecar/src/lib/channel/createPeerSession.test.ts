import { Readable } from 'node:stream';

import { refuse } from '@buckthornslip/calls';
import { createFakeClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import type { channelMessages } from '@buckthornslip/wire';
import t from 'tap';

import { createTurnPacer } from '../process/createTurnPacer';
import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import { createAnswerRetention } from './createAnswerRetention';
import { createOutgoingBudget } from './createOutgoingBudget';
import { createPeerSession } from './createPeerSession';
import type { FrameConnection } from './FrameConnection';
import type { Frame } from './frameCodec';

const PART_BYTES = 65_536;

/** Most bytes of answers that wait and that are retained. */
const ANSWER_BYTES = 1_048_576;

/** A connection on which a number of bytes wait until it is drained. */
function createConnection(pendingBytes = 0) {
  const sent: Frame[] = [];
  let pending = pendingBytes;
  let resolveDrained = (): void => undefined;
  const drained = new Promise<void>((resolve) => {
    resolveDrained = resolve;
  });
  const connection: FrameConnection = {
    send: (frame) => sent.push(frame),
    lastReceivedMilliseconds: () => 0,
    pendingBytes: () => pending,
    whenDrained: () => drained,
    destroy: () => undefined,
  };
  const drain = (): void => {
    pending = 0;
    resolveDrained();
  };
  return { connection, sent, drain };
}

/** Starts a session whose only call is served as given. */
function startSession(serve: (call: CallAttempt) => Promise<AttemptResult>) {
  const clock = createFakeClock();
  const session = createPeerSession(
    {
      clock,
      logger: createSilentLogger(),
      pacer: createTurnPacer(() => 0),
      outgoing: createOutgoingBudget(ANSWER_BYTES),
      retention: createAnswerRetention(clock, ANSWER_BYTES),
    },
    {
      serve,
      grant: async () => ({ tokens: 1, retryAfterMilliseconds: 0 }),
      exchange: (fields) => fields,
      mergeSuspects: () => undefined,
      recordInterrupted: () => undefined,
    },
    { number: 1, onForgotten: () => undefined },
  );
  const first = createConnection();
  session.attach(first.connection);
  const call: channelMessages.Call = {
    id: 1,
    requestId: 'request',
    route: 'route',
    service: 'service',
    account: '',
    payer: '',
    callerService: 'caller',
    rank: 0,
    nested: false,
    repeatable: true,
    repeated: false,
    costMilliseconds: 0,
    answerWindowBytes: 0,
    remainingMilliseconds: 60_000,
    method: 'GET',
    target: '/',
    headers: '',
    body: Buffer.alloc(0),
    bodyFollows: false,
    bodyLength: -1,
  };
  return { call, clock, first, session };
}

const turn = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

function longAnswer(rest: Readable): AttemptResult {
  return {
    answer: { kind: 'answer', status: 200, headers: [], body: Buffer.alloc(PART_BYTES), rest },
    load: undefined,
  };
}

// Guards against an upstream whose slots stay in use for good, because the rest of a long answer is closed by nobody when its entry
// node has ended before the answer began.
void t.test('a long answer without a connection is closed', async (test) => {
  // Longer than what is sent before the other node grants credit.
  const rest = Readable.from(Array.from({ length: 8 }, () => Buffer.alloc(PART_BYTES)));
  let answer = (): void => undefined;
  const answered = new Promise<void>((resolve) => {
    answer = resolve;
  });
  const { call, first, session } = startSession(async () => {
    await answered;
    return longAnswer(rest);
  });
  session.onCall(call);
  await turn();
  session.detach(first.connection);
  answer();
  await turn();
  test.ok(rest.destroyed);
  const second = createConnection();
  session.attach(second.connection);
  session.onResume({ id: 1, incarnation: 1 });
  test.match(second.sent, [{ $case: 'answer', value: { refusalOutcome: 'may-have-run' } }]);
});

// Guards against a long answer that is closed although its entry node is there.
void t.test('a long answer is sent in parts', async (test) => {
  const { call, first, session } = startSession(async () =>
    longAnswer(Readable.from([Buffer.alloc(PART_BYTES)])),
  );
  session.onCall(call);
  await turn();
  await turn();
  const kinds = first.sent.map(({ $case }) => $case);
  test.same([...new Set(kinds)], ['answer', 'bodyPart']);
  test.match(first.sent.at(-1), { value: { last: true } });
});

/** Sends an upload of which one part arrives, and returns its stream after the call was answered. */
async function upload(isRead: boolean) {
  let stream: Readable | undefined;
  const { call, session } = startSession(async ({ body }) => {
    if (body.kind === 'stream') stream = body.stream;
    if (isRead) stream?.on('data', () => undefined);
    await turn();
    return { answer: refuse('queue-full'), load: undefined };
  });
  session.onCall({ ...call, bodyFollows: true });
  session.onBodyPart({ id: 1, bytes: Buffer.alloc(PART_BYTES), last: false, broken: false });
  await turn();
  await turn();
  await turn();
  return stream;
}

// Guards against memory that is kept for the bodies of refused calls, as long as their answers are retained.
void t.test('the body of a call that was refused unread is dropped', async (test) => {
  test.equal((await upload(false))?.destroyed, true);
});

// Guards against a body that the upstream gets truncated because it has answered early.
void t.test('a body that is being read is not dropped', async (test) => {
  test.equal((await upload(true))?.destroyed, false);
});

// Guards against calls whose answers fill the memory of a node because the other node does not read them.
void t.test('a call waits while its connection has no room for its answer', async (test) => {
  let served = 0;
  const { call, session } = startSession(async () => {
    served += 1;
    return { answer: refuse('queue-full'), load: undefined };
  });
  const full = createConnection(ANSWER_BYTES);
  session.attach(full.connection);
  session.onCall(call);
  await turn();
  test.equal(served, 0);
  full.drain();
  await turn();
  test.equal(served, 1);
});

// Guards against a call that runs for a caller that has left while it waited.
void t.test('a call that is cancelled while it waits for room does not run', async (test) => {
  const { call, session } = startSession(() => {
    throw new Error('the call runs');
  });
  const full = createConnection(ANSWER_BYTES);
  session.attach(full.connection);
  session.onCall(call);
  await turn();
  session.onCancel({ id: call.id });
  await turn();
  const answers = full.sent.filter(({ $case }) => $case === 'answer');
  test.match(answers, [{ value: { refusalReason: 'caller-gone', refusalOutcome: 'not-run' } }]);
});

// Guards against answers that an entry node with many unread ones gets faster than its callers read.
void t.test('the rest of an answer beyond its window waits for credit', async (test) => {
  const rest = Readable.from([Buffer.alloc(PART_BYTES), Buffer.alloc(PART_BYTES)]);
  const { call, first, session } = startSession(async () => longAnswer(rest));
  const answer = longAnswer(rest).answer as { readonly body: Buffer };
  session.onCall({ ...call, answerWindowBytes: Math.max(1, answer.body.length) });
  await turn();
  const partBytes = (): number =>
    first.sent.reduce(
      (sum, frame) => sum + (frame.$case === 'bodyPart' ? frame.value.bytes.length : 0),
      0,
    );
  test.ok(partBytes() <= PART_BYTES, `${partBytes()} bytes without credit`);
  session.onBodyCredit({ id: call.id, bytes: 2 * PART_BYTES });
  await turn();
  test.equal(partBytes(), 2 * PART_BYTES);
});
