import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';

import { createAdmissionController } from '@buckthornslip/admission';
import { createCallScope } from '@buckthornslip/calls';
import type { ServiceId, UpstreamId } from '@buckthornslip/common';
import { createSystemClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createConnectionPool } from '../http/createConnectionPool';
import { createStopBound } from '../process/createStopBound';
import type { TurnPacer } from '../process/createTurnPacer';
import { createCallServer } from './createCallServer';
import { createNestedShares } from './createNestedShares';
import type { UpstreamInstance } from './UpstreamInstance';
import { FULL_ANSWER_WINDOW_BYTES } from './FULL_ANSWER_WINDOW_BYTES';

const service = 'service' as ServiceId;
const clock = createSystemClock();
const ignore = (): undefined => undefined;

/** How the nested calls of each run end. */
interface Nested {
  readonly isParent: boolean;
  readonly isRefused: boolean;
  readonly isShed: boolean;
}

/** Starts a call server whose upstream responds with a status after nested calls that ended as given. */
async function startCallServer(
  status: number,
  nested: Nested,
  pacer: Pick<TurnPacer, 'waitIfLate'> = { waitIfLate: ignore },
) {
  let runs = 0;
  const server = createServer((_request, response) => {
    runs += 1;
    response.writeHead(status, { 'Content-Length': 0 }).end();
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const address = `127.0.0.1:${port}`;
  const instance: UpstreamInstance = {
    id: 'upstream' as UpstreamId,
    startedMilliseconds: 1,
    sequence: 1,
    service,
    address,
    slots: 8,
    state: 'ready',
    coldStartMilliseconds: 0,
  };
  const admission = createAdmissionController({ clock, adaptsToLatency: false });
  admission.setCapacity({
    state: 'ready',
    slots: 8,
    coldStartMilliseconds: 0,
    queueTargetMilliseconds: 400,
  });
  const pool = createConnectionPool({
    clock,
    address,
    maximumConnections: 4,
    idleMilliseconds: 1_000,
    connectMilliseconds: 300,
  });
  const stopBound = createStopBound(clock);
  const callServer = createCallServer({
    clock,
    admission,
    upstream: {
      current: () => ({ instance, state: 'ready' }),
      announce: () => true,
      leave: ignore,
      restoreDeparture: ignore,
      markLeaving: ignore,
      markLost: ignore,
      close: ignore,
    },
    statedLimit: { record: ignore, startInstance: ignore },
    gate: {
      permission: () => 'allowed',
      refusal: () => undefined,
      whenKnown: () => Promise.resolve(),
    },
    costs: undefined,
    recordSpeed: ignore,
    poolOf: () => pool,
    protocol: {
      readRequest: () => ({ requestId: undefined, key: undefined, timeoutMilliseconds: undefined }),
      readResponse: () => ({
        requestId: 'r',
        isNotRun: false,
        isSigned: true,
        limitPerSecond: undefined,
        isLeaving: false,
      }),
      readHealth: () => ({ upstream: undefined, coldMilliseconds: undefined }),
      writeUpstreamHeaders: () => ['Host', 'calls.example'],
      reservedNames: new Set(),
    },
    running: {
      add: () => ({
        end: ignore,
        isParent: () => nested.isParent,
        hasRefusedCall: () => nested.isRefused,
        hasShedCall: () => nested.isShed,
      }),
      isEmpty: () => false,
      findParent: ignore,
    },
    nestedShares: createNestedShares(clock),
    repeats: { countFirstAttempt: ignore, tryRepeat: () => true },
    suspects: { check: ignore, begin: () => ({ end: ignore }), recordEnd: ignore },
    stopBound,
    pacer,
    logger: createSilentLogger(),
  });
  const serve = async (scope = createCallScope(clock, 1_500)) => {
    const result = await callServer.serve({
      requestId: 'r',
      route: 'read',
      service,
      account: undefined,
      chargedAccount: undefined,
      callerService: service,
      rank: 0,
      isNested: false,
      repeatable: true,
      isRepeat: false,
      answerWindowBytes: FULL_ANSWER_WINDOW_BYTES,
      method: 'GET',
      target: '/',
      headers: [],
      body: { kind: 'whole', bytes: Buffer.alloc(0) },
      scope,
    });
    scope.end();
    return result;
  };
  const close = (): void => {
    pool.close();
    server.close();
    server.closeAllConnections();
  };
  return { admission, runs: () => runs, serve, close, stopBound };
}

const cases = [
  { name: 'a refused nested call fails it', status: 500, act: 'refuse', isRefused: true },
  { name: 'the upstream does without the nested call', status: 200, act: 'refuse' },
  { name: 'an upstream below shed a call as well', status: 500, act: 'shed' },
  { name: 'it fails for another reason', status: 500, act: 'nest' },
  { name: 'it makes no nested call', status: 500, act: 'none', isUnknown: true },
] as const;

const nestedCalls: Readonly<Record<(typeof cases)[number]['act'], Nested>> = {
  none: { isParent: false, isRefused: false, isShed: false },
  nest: { isParent: true, isRefused: false, isShed: false },
  refuse: { isParent: true, isRefused: true, isShed: false },
  shed: { isParent: true, isRefused: true, isShed: true },
};

// Guards against early refusals for any other cause than lack of capacity below the run.
cases.forEach(({ act, name, status, ...expected }) => {
  void t.test(`a run is reported: ${name}`, async (test) => {
    const { close, serve } = await startCallServer(status, nestedCalls[act]);
    const isRefused = 'isRefused' in expected;
    const first = await serve();
    const second = await serve();
    test.equal(first.isNestedRefused, isRefused);
    test.equal(first.isShed, act === 'shed');
    if ('isUnknown' in expected) test.equal(second.nestedShare, undefined);
    else test.equal(second.nestedShare, isRefused ? 0.01 : 1);
    close();
  });
});

// Guards against a call of another node that the end of this one cuts off, although another upstream could run it.
void t.test('a stopping node refuses calls that usually outlive it', async (test) => {
  const { close, serve, stopBound } = await startCallServer(200, nestedCalls.none);
  stopBound.start(clock.monotonicMilliseconds() + 400);
  const unknown = await serve();
  test.match(unknown.answer, { kind: 'answer' }, 'nothing is known of its route');
  stopBound.observe('read', 300);
  const refused = await serve();
  test.match(refused.answer, { kind: 'refusal', reason: 'node-stopping', outcome: 'not-run' });
  close();
});

// Guards against running a call that was cancelled while it was queued, when a busy node reads the end of an earlier call first.
void t.test('a call that was queued is not run before the next poll', async (test) => {
  const scope = createCallScope(clock, 1_500);
  const pacer = {
    waitIfLate: async () => {
      scope.cancel('caller-gone');
    },
  };
  const { admission, close, runs, serve } = await startCallServer(200, nestedCalls.none, pacer);
  admission.setMaximumRunning(0);
  const serving = serve(scope);
  await clock.sleep(20);
  admission.setMaximumRunning(1);
  const { answer } = await serving;
  test.match(answer, { kind: 'refusal', reason: 'caller-gone', outcome: 'not-run' });
  test.equal(runs(), 0);
  test.equal(admission.load().running, 0);
  close();
});
