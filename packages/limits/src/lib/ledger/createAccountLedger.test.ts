import type { AccountId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createAccountLedger } from './createAccountLedger';

const ACCOUNT = 'account' as AccountId;

// Guards against an account that gets its previous limit, with the whole burst, at its first requests after a quiet time, although
// its limit was lowered long before.
void t.test('a limit that is lowered while the account is quiet is in effect', async (test) => {
  const clock = createFakeClock();
  let allowance = { ratePerSecond: 100, burst: 50 };
  const ledger = createAccountLedger(clock, {
    allowanceOf: () => allowance,
    isFirstStart: true,
    hasLostNodes: () => false,
    share: () => 1,
  });
  const grantAll = async (): Promise<number> =>
    (await ledger.grant({ account: ACCOUNT, needed: 200, ahead: 0 })).tokens;
  test.equal(await grantAll(), 50);
  allowance = { ratePerSecond: 10, burst: 5 };
  ledger.applyPolicy();
  await clock.advance(10_000);
  test.equal(await grantAll(), 5);
});
