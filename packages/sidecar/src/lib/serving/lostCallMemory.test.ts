import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createLostCalls } from '../channel/createLostCalls';
import type { CallAttempt } from './CallAttempt';
import { createUnansweredCalls } from './createUnansweredCalls';
import type { UpstreamStart } from './UpstreamStart';

const START = { id: 'upstream', startedMilliseconds: 1 } as UpstreamStart;

const BODY_BYTES = 1_024;

setFlagsFromString('--expose-gc');
const collectGarbage = runInNewContext('gc') as () => void;

function createCall(): CallAttempt {
  const body = { kind: 'whole', bytes: Buffer.alloc(BODY_BYTES) };
  return { requestId: 'a', route: 'r', method: 'POST', target: '/', body } as CallAttempt;
}

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/** @returns Whether a call is still reachable after it was handed over. */
async function isRetained(handOver: (call: CallAttempt) => void): Promise<boolean> {
  const reference = (() => {
    const call = createCall();
    handOver(call);
    return new WeakRef(call);
  })();
  await settle();
  collectGarbage();
  return reference.deref() !== undefined;
}

// Guards against failed uploads that keep their bodies until the next event, on each link and at each upstream.
void t.test('a failed call does not keep its body', async (test) => {
  const unanswered = createUnansweredCalls(createFakeClock());
  test.notOk(await isRetained((call) => unanswered.add(call, START).recordLoss()), 'lost');
  test.notOk(await isRetained((call) => unanswered.add(call, START).recordAbandonment()), 'left');
  test.equal(unanswered.take(START).length, 2);

  const lost = createLostCalls(createFakeClock());
  const isKept = await isRetained((call) =>
    lost.add({ call, incarnation: 1, sentMilliseconds: 0 }),
  );
  test.notOk(isKept, 'lost with its connection');
  test.equal(lost.take(2).length, 1);
});
