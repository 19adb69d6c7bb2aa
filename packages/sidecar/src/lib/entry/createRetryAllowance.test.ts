import type { ServiceId } from '@buckthornslip/common';
import fc from 'fast-check';
import t from 'tap';

import { createRetryAllowance } from './createRetryAllowance';

const SEED = 20_261_204;
const SERVICE = 'service' as ServiceId;
const OTHER = 'other' as ServiceId;
const SETTINGS = { ratio: 0.1, saved: 3 };

// Guards against retries that add more load to a struggling service than the ratio allows.
void t.test('retries stay below the ratio and what was saved, in any order', async (test) => {
  fc.assert(
    fc.property(fc.array(fc.boolean(), { maxLength: 500 }), (steps) => {
      const allowance = createRetryAllowance(() => SETTINGS);
      let first = 0;
      let retries = 0;
      return steps.every((isFirst) => {
        if (isFirst) {
          first += 1;
          allowance.countFirstAttempt(SERVICE);
        } else if (allowance.take(SERVICE)) retries += 1;
        return retries <= SETTINGS.ratio * first + SETTINGS.saved + 1e-9;
      });
    }),
    { seed: SEED, numRuns: 500 },
  );
  test.pass('bound kept in 500 runs');
});

// Guards against a failing service that uses up the retries of the others.
void t.test('each service has its own allowance', async (test) => {
  const allowance = createRetryAllowance(() => SETTINGS);
  while (allowance.take(SERVICE));
  test.ok(allowance.take(OTHER));
});
