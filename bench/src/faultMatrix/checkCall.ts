import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

import type { CallFixture } from './startCallFixture';
import { RETRY_BUDGET, startCallFixture } from './startCallFixture';
import type { Fault } from './faults';
import { CRASH_MARKER, faultInjectors } from './faultInjectors';
import type { CallStep } from './rows';
import type { CallResult, ObservedCall } from './sendObserved';
import { sendObserved } from './sendObserved';
import { waitUntil } from './waitUntil';

/** Larger than the buffers of all sockets and streams between the upstream and a caller that does not read. */
const LARGE_BYTES = 24_000_000;
const SMALL_BYTES = 50_000;
const SURGE_CALLS = 16;

/** Time within which an execution that wrongly starts after a refusal becomes visible, in milliseconds. */
const LATE_RUN_MILLISECONDS = 30;

/** Longer than the minimum time for which a draining listener accepts requests, in milliseconds. */
const PAUSE_MILLISECONDS = 600;

/** Time-to-first-byte limit of the cells in which only this limit can end the call, in milliseconds. */
const SHORT_FIRST_BYTE_MILLISECONDS = 400;

/** Steps before a call is forwarded to a serving node. */
const stepsBeforeForward: readonly CallStep[] = ['accept', 'authenticate', 'limit', 'route'];
const stepsSinceStart: readonly CallStep[] = ['start', 'response head', 'response body', 'end'];

/** Fault to inject when a call reaches a step. */
export interface Injection {
  readonly step: CallStep;
  readonly fault: Fault;
}

/** Observations of a call under faults. */
export interface CallObservation {
  readonly fixture: CallFixture;
  readonly result: CallResult;
  /** Result of the same call, repeated while the fault is still present. */
  readonly repeat: CallResult;
  /** Number of faults whose step was reached. */
  readonly injected: number;
}

/** @returns Number of executions on all upstreams of the calls with a marker or idempotency key. */
export function runsOf({ cluster }: CallFixture, marker: string): number {
  return cluster.upstreams.reduce((sum, one) => sum + (one?.counters().runs[marker] ?? 0), 0);
}

function startedOf({ cluster }: CallFixture): readonly number[] {
  return cluster.upstreams.map((one) => one?.counters().started ?? 0);
}

async function waitUntilIdle({ cluster }: CallFixture): Promise<void> {
  await waitUntil(
    () => cluster.upstreams.every((one) => (one?.counters().running ?? 0) === 0),
    'running calls to finish',
  );
  await sleep(LATE_RUN_MILLISECONDS);
}

/** Checks invariants 4, 7 and 8, which hold under every fault, for one result. */
function checkResult(
  fixture: CallFixture,
  result: CallResult,
  runsBefore: number,
  runs: number,
): void {
  if (result.kind === 'response') {
    if (result.status === 200)
      assert.ok(result.isComplete, '7: a truncated response passed as complete');
    if (result.outcome === 'not-run') assert.equal(runs, runsBefore, '8: "not-run" but it ran');
  }
  const sent = fixture.upstreamHeaders.join('\n');
  assert.ok(!sent.includes(fixture.cluster.key), '4: an upstream saw the key');
  assert.ok(!/^authorization$/im.test(sent), '4: an upstream saw an Authorization header');
}

async function warmUp(fixture: CallFixture): Promise<void> {
  // Calls each serving node once, which opens the connections; the next call is then routed to the first node.
  for (const marker of ['warm-1', 'warm-2']) {
    const warm = { marker, idempotencyKey: marker, responseBytes: SMALL_BYTES };
    const result = await sendObserved(fixture, warm);
    assert.equal(result.kind === 'response' && result.status, 200, 'a call failed without a fault');
  }
}

/** Sends concurrent calls and checks that each stays within its retry budget. */
async function sendSurge(fixture: CallFixture): Promise<void> {
  const calls = Array.from({ length: SURGE_CALLS }, (_, index) => `surge-${index}`);
  await Promise.all(
    calls.map(async (marker) => {
      const result = await sendObserved(fixture, { marker, responseBytes: SMALL_BYTES });
      await waitUntilIdle(fixture);
      const runs = runsOf(fixture, marker);
      assert.ok(runs <= 1 + RETRY_BUDGET, `1: ${runs} runs of one call`);
      checkResult(fixture, result, 0, runs);
    }),
  );
}

function checkRuns(fixture: CallFixture, marker: string, repeatable: boolean, calls: number): void {
  const runs = runsOf(fixture, marker);
  if (repeatable)
    assert.ok(runs <= calls * (1 + RETRY_BUDGET), `1: ${runs} runs of ${calls} calls`);
  else assert.ok(runs <= 1, `9: ${runs} runs of a non-repeatable call`);
}

/**
 * Sends a call, injects each fault when the call reaches its step, repeats the call and checks the invariants that hold
 * under every fault.
 *
 * @param fixture - Fixture that has not served a call yet.
 * @param repeatable - Whether the route of the fixture is repeatable.
 * @param injections - Faults with their steps.
 * @returns Observations for further checks.
 */
export async function observeCall(
  fixture: CallFixture,
  repeatable: boolean,
  injections: readonly Injection[],
): Promise<CallObservation> {
  const agent = new Agent({ keepAlive: true });
  const marker = injections.some(({ fault }) => fault === 'crashing request sent again')
    ? CRASH_MARKER
    : 'observed';
  const runKey = repeatable ? marker : 'key-1';
  await warmUp(fixture);
  let injected = 0;
  const inject = (fault: Fault): void => {
    injected += 1;
    faultInjectors[fault]?.(fixture);
  };
  const isLarge = injections.some(({ step }) => step.startsWith('response'));
  const atAccept = injections.filter(({ step }) => step === 'accept');
  const base: ObservedCall = {
    marker,
    idempotencyKey: repeatable ? undefined : runKey,
    responseBytes: isLarge ? LARGE_BYTES : SMALL_BYTES,
    agent,
    readPauseMilliseconds:
      isLarge && injections.some(({ fault }) => fault === 'drain') ? PAUSE_MILLISECONDS : 0,
  };
  const injectAtSteps = (): void => {
    for (const { fault, step } of injections) {
      if (step !== 'accept' && step !== 'end') fixture.onceAtStep(step, () => inject(fault));
    }
  };
  const onAccepted = (): void => {
    atAccept.forEach(({ fault }) => inject(fault));
    injectAtSteps();
  };
  if (atAccept.length === 0) injectAtSteps();
  const hasSurge = injections.some(({ fault }) => fault === 'slow service with surge');
  const result = await sendObserved(
    fixture,
    atAccept.length === 0 ? base : { ...base, onAccepted },
  );
  injections.filter(({ step }) => step === 'end').forEach(({ fault }) => inject(fault));
  await waitUntilIdle(fixture);
  const runs = runsOf(fixture, runKey);
  checkResult(fixture, result, 0, runs);
  checkRuns(fixture, runKey, repeatable, 1);
  if (hasSurge && repeatable) await sendSurge(fixture);
  const repeat = await sendObserved(fixture, base);
  await waitUntilIdle(fixture);
  checkResult(
    fixture,
    repeat,
    result.kind === 'response' && result.outcome === 'not-run' ? 0 : runs,
    runsOf(fixture, runKey),
  );
  checkRuns(fixture, runKey, repeatable, 2);
  agent.destroy();
  return { fixture, result, repeat, injected };
}

type Expectation = (step: CallStep, observation: CallObservation, repeatable: boolean) => void;

const statusOf = (result: CallResult): number =>
  result.kind === 'response' ? result.status : Number.NaN;
const reasonOf = (result: CallResult): string | undefined =>
  result.kind === 'response' ? result.reason : undefined;

/** Expectations of individual faults, beyond the invariants that hold under every fault. */
const expectations: Partial<Record<Fault, Expectation>> = {
  'key withdrawn': (step, { result, repeat, fixture }, repeatable) => {
    if (stepsBeforeForward.includes(step)) {
      assert.equal(statusOf(result), 401, '5: a call with a withdrawn key was not refused');
      assert.equal(
        runsOf(fixture, repeatable ? 'observed' : 'key-1'),
        0,
        '5: a call with a withdrawn key was executed',
      );
    }
    assert.equal(statusOf(repeat), 401, '5: an open connection still accepts the withdrawn key');
    assert.equal(reasonOf(repeat), 'key-withdrawn');
  },
  'lease lapsed in a pause': (_step, { repeat }) => {
    assert.equal(
      reasonOf(repeat),
      'limit-unavailable',
      '6: a token was granted without a token server',
    );
  },
  drain: (step, { result, fixture }) => {
    if (stepsSinceStart.includes(step))
      assert.equal(statusOf(result), 200, '11: the call was cut off');
    if (result.kind === 'cut') assert.fail('11: the drain aborted the call');
    assert.ok((startedOf(fixture)[1] ?? 0) <= 2, '10: the draining node received new calls');
  },
  'misleading health': (step, { result, repeat }, repeatable) => {
    assert.equal(
      statusOf(result),
      200,
      'a failing health endpoint stopped a call that would have succeeded',
    );
    // Responses over 64 KB are not stored, so the repeat of a non-repeatable call is only told that the call ran.
    const isKept = repeatable || !step.startsWith('response');
    assert.equal(statusOf(repeat), isKept ? 200 : 409, 'the repeat got the wrong status');
  },
  'region cut': (_step, { repeat }) => {
    assert.equal(
      reasonOf(repeat),
      'configuration-stale',
      '5: a call was not refused although a withdrawal cannot be ruled out',
    );
  },
};

const faultsWithShortFirstByte: readonly Fault[] = ['silent connection', 'region cut'];

/**
 * Checks a cell of the matrix with a repeatable and with a non-repeatable route.
 *
 * @param step - Step at which the fault is injected.
 * @param fault - Fault to inject.
 */
export async function checkCall(step: CallStep, fault: Fault): Promise<void> {
  for (const repeatable of [true, false]) {
    const fixture = await startCallFixture({
      repeatable,
      firstByteMilliseconds: faultsWithShortFirstByte.includes(fault)
        ? SHORT_FIRST_BYTE_MILLISECONDS
        : undefined,
      upstream: fault === 'drain' ? { latencyMilliseconds: PAUSE_MILLISECONDS } : {},
    });
    try {
      const observation = await observeCall(fixture, repeatable, [{ step, fault }]);
      assert.equal(observation.injected, 1, 'the fault was not injected');
      expectations[fault]?.(step, observation, repeatable);
    } finally {
      await fixture.close();
    }
  }
}
