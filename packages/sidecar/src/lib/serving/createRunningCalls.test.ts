import type { AccountId } from '@buckthornslip/common';
import t from 'tap';

import { createRunningCalls } from './createRunningCalls';

const call = (requestId: string, rank: number) => ({
  requestId,
  rank,
  chargedAccount: `account-${requestId}` as AccountId,
  isRepeat: false,
});

// Guards against nested calls of an urgent call that queue behind those of less urgent calls.
void t.test('a nested call is matched by the deadline of its parent', async (test) => {
  const calls = createRunningCalls();
  calls.add(call('urgent', 0), 1_000, 2_500);
  calls.add(call('other', 3), 1_010, 2_520);
  const nested = { route: 'inner', nowMilliseconds: 1_200, remainingMilliseconds: 1_299 };
  test.equal(calls.findParent(nested)?.requestId, 'urgent');
});

// Guards against losing the parent when the calls of a route have a shorter timeout than their parents.
void t.test(
  'a nested call with a timeout of its own is matched by the start of its parent',
  async (test) => {
    const calls = createRunningCalls();
    calls.add(call('first', 0), 1_000, 3_000);
    test.equal(
      calls.findParent({ route: 'inner', nowMilliseconds: 1_002, remainingMilliseconds: 699 })
        ?.requestId,
      'first',
    );
    calls.add(call('second', 2), 1_100, 3_050);
    const later = { route: 'inner', nowMilliseconds: 1_300, remainingMilliseconds: 501 };
    test.equal(calls.findParent(later)?.requestId, 'second');
  },
);

// Guards against matching a parent that has ended or a call that is unrelated.
void t.test('no parent is assumed if none matches', async (test) => {
  const calls = createRunningCalls();
  const { end } = calls.add(call('ended', 0), 1_000, 2_500);
  end();
  calls.add(call('other', 0), 1_700, 4_000);
  const nested = { route: 'inner', nowMilliseconds: 1_200, remainingMilliseconds: 1_299 };
  test.equal(calls.findParent(nested), undefined);
});
