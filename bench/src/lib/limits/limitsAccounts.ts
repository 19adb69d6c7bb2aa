import type { AccountId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';

const accountOf = (id: string, ratePerSecond: number, burst: number): AccountDefinition => ({
  id: id as AccountId,
  ratePerSecond,
  burst,
  routes: [],
  whenIsolated: 'refuse',
});

/** Accounts of the benchmark: large ones with a burst of a whole or half a second of their rate, and small ones. */
export const limitsAccounts: readonly AccountDefinition[] = [
  accountOf('surging', 40, 40),
  accountOf('large', 100, 100),
  accountOf('medium', 40, 20),
  accountOf('small', 5, 10),
  accountOf('tiny', 2, 5),
];
