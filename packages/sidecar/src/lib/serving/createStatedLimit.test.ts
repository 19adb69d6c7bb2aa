import type { AdmissionRequest } from '@buckthornslip/admission';
import { createAdmissionController } from '@buckthornslip/admission';
import type { ServiceId, UpstreamId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import { createSilentLogger } from '@buckthornslip/telemetry';
import t from 'tap';

import { createStatedLimit } from './createStatedLimit';
import type { UpstreamInstance } from './UpstreamInstance';

const WORK_MILLISECONDS = 200;
const SLOTS = 64;

const instance: UpstreamInstance = {
  id: 'i-1' as UpstreamId,
  startedMilliseconds: 100,
  sequence: 7,
  service: 'a' as ServiceId,
  address: '127.0.0.1:1',
  slots: SLOTS,
  state: 'ready',
  coldStartMilliseconds: 0,
};

const request: AdmissionRequest = {
  account: undefined,
  priority: 'normal',
  depth: 0,
  remainingMilliseconds: 5_000,
  isolated: false,
};

/** Sends 100 calls a second for four seconds to an upstream that states a limit in each response. */
async function countStarts(options: { limitPerSecond: number | undefined; isFirstStart: boolean }) {
  const { isFirstStart, limitPerSecond } = options;
  const clock = createFakeClock();
  const admission = createAdmissionController({ clock, adaptsToLatency: false });
  const { setMaximumRunning, setRateLimit } = admission;
  const logger = createSilentLogger();
  const stated = createStatedLimit({ logger, isFirstStart, setMaximumRunning, setRateLimit });
  stated.startInstance(instance);
  admission.setCapacity({
    state: 'ready',
    slots: SLOTS,
    coldStartMilliseconds: 0,
    queueTargetMilliseconds: 100,
  });
  let starts = 0;
  let startsBeforeResponse = 0;
  const send = async (): Promise<void> => {
    const admitted = await admission.admit(request);
    if (!admitted.ok) return;
    starts += 1;
    await clock.sleep(WORK_MILLISECONDS);
    stated.record(instance, { limitPerSecond, requestId: undefined });
    admitted.value.release('completed');
  };
  for (let call = 0; call < 400; call += 1) {
    void send();
    await clock.advance(10);
    if (clock.monotonicMilliseconds() < WORK_MILLISECONDS) startsBeforeResponse = starts;
  }
  return { starts, startsBeforeResponse };
}

// Guards against exceeding the limit of an upstream that stated it only to an earlier process of this node.
void t.test('a restarted node keeps to a limit that it has not heard yet', async (test) => {
  const { starts } = await countStarts({ limitPerSecond: 1, isFirstStart: false });
  // Operators allow one and a half times the limit and five calls.
  test.ok(starts <= 1 * 4 * 1.5 + 5, `${starts} calls in 4 s`);
  test.ok(starts >= 4, `${starts} calls in 4 s`);
});

// Guards against holding back calls to an upstream without a limit.
void t.test('an upstream without a limit gets all calls after its first response', async (test) => {
  const restarted = await countStarts({ limitPerSecond: undefined, isFirstStart: false });
  const first = await countStarts({ limitPerSecond: undefined, isFirstStart: true });
  test.ok(restarted.starts > 370, `${restarted.starts} of 400 calls`);
  test.equal(first.starts, 400);
  test.ok(first.startsBeforeResponse >= 18, `${first.startsBeforeResponse} calls`);
});
