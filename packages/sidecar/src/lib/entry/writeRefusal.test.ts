import { refuse } from '@buckthornslip/calls';
import type { Outcome, RefusalReason } from '@buckthornslip/common';
import { refusalCatalogue } from '@buckthornslip/common';
import t from 'tap';

import { statusOf } from './writeRefusal';

/** Statuses from which a caller may conclude that the request has not run and will not run. */
const NOT_RUN_STATUSES = [408, 421, 429, 503];

// Guards against a caller that repeats a non-idempotent request because the status wrongly states that it has not run.
void t.test('no status states "not run" for a request that may have run', async (test) => {
  const reasons = Object.keys(refusalCatalogue) as RefusalReason[];
  const outcomes: readonly Outcome[] = ['may-have-run', 'ran'];
  const statuses = reasons.flatMap((reason) =>
    outcomes.map((outcome) => statusOf(refuse(reason, outcome))),
  );
  test.notOk(statuses.some((status) => NOT_RUN_STATUSES.includes(status)));
});

// Guards against a caller that gives up a request which it could safely retry.
void t.test('a request that has not run may be retried', async (test) => {
  test.equal(statusOf(refuse('peer-unreachable', 'not-run')), 503);
  test.equal(statusOf(refuse('queue-timeout', 'not-run')), 503);
  test.equal(statusOf(refuse('account-rate', 'not-run')), 429);
});
