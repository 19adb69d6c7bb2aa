import type { AccountId } from '@buckthornslip/common';
import { createFakeClock } from '@buckthornslip/common';
import t from 'tap';

import { createAccountLedger } from './createAccountLedger';

const ACCOUNT = 'account' as AccountId;

function createFixture() {
  const clock = createFakeClock();
  let allowance = { ratePerSecond: 100, burst: 50 };
  const ledger = createAccountLedger(clock, {
    allowanceOf: () => allowance,
    isFirstStart: true,
    hasLostNodes: () => false,
    share: () => 1,
  });
  return {
    clock,
    ledger,
    setAllowance: (next: typeof allowance) => {
      allowance = next;
    },
    /** @returns Tokens that the account gets at once. */
    grantAll: async (): Promise<number> =>
      (await ledger.grant({ account: ACCOUNT, needed: 200, ahead: 0 })).tokens,
  };
}

// Guards against an account that gets its previous limit, with the whole burst, at its first requests after a quiet time, although
// its limit was lowered long before.
void t.test('a limit that is lowered while the account is quiet is in effect', async (test) => {
  const { clock, grantAll, ledger, setAllowance } = createFixture();
  test.equal(await grantAll(), 50);
  setAllowance({ ratePerSecond: 10, burst: 5 });
  ledger.applyPolicy();
  await clock.advance(10_000);
  test.equal(await grantAll(), 5);
});

// Guards against an account that gets its burst again, because the bucket of its ledger was refilled while another node kept it.
void t.test('a ledger that comes back starts with few tokens', async (test) => {
  for (const elsewhereMilliseconds of [1_000, 16_000]) {
    const { clock, grantAll, ledger } = createFixture();
    test.equal(await grantAll(), 50);
    ledger.forgetMoved(() => true);
    await clock.advance(100);
    test.equal(await grantAll(), 10, 'it was kept here');
    ledger.forgetMoved(() => false);
    await clock.advance(elsewhereMilliseconds);
    test.equal(await grantAll(), 5, `after ${elsewhereMilliseconds} ms`);
  }
});
