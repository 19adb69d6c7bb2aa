import type { UpstreamId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createInterruptedCalls } from './createInterruptedCalls';

function createList() {
  const clock = createFakeClock();
  const lost: string[] = [];
  const list = createInterruptedCalls(clock, (fingerprints) => lost.push(...fingerprints));
  const startUpstream = (ageMilliseconds: number): void =>
    list.setStart({
      id: 'upstream' as UpstreamId,
      startedMilliseconds: clock.wallMilliseconds() - ageMilliseconds,
    });
  return { clock, list, lost, startUpstream };
}

// Guards against suspecting the calls of a node that was killed alone: its upstream has gone on running them.
void t.test('calls that were sent after the start of the upstream are not lost', async (test) => {
  const { list, lost, startUpstream } = createList();
  startUpstream(2_000);
  list.add([
    { fingerprint: 'before', ageMilliseconds: 2_500 },
    { fingerprint: 'after', ageMilliseconds: 1_500 },
  ]);
  test.same(lost, ['before']);
});

// Guards against forgetting calls that are reported before the restarted node knows its upstream.
void t.test('calls wait for the first announcement of the upstream', async (test) => {
  const { clock, list, lost, startUpstream } = createList();
  list.add([{ fingerprint: 'before', ageMilliseconds: 500 }]);
  test.same(lost, []);
  await clock.advance(1_500);
  startUpstream(1_000);
  startUpstream(1_000);
  test.same(lost, ['before']);
});

// Guards against suspecting a call because of an unrelated restart much later.
void t.test('calls wait for a limited time', async (test) => {
  const { clock, list, lost, startUpstream } = createList();
  list.add([{ fingerprint: 'before', ageMilliseconds: 500 }]);
  await clock.advance(20_000);
  startUpstream(1_000);
  test.same(lost, []);
});
