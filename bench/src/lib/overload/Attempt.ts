import type { AccountId, Priority } from '@buckthornslip/common';

/** One attempt of a client at a request. */
export interface Attempt {
  readonly account: AccountId;
  readonly priority: Priority;
  readonly deadlineMilliseconds: number;
}

/** Serves an attempt. The result is "served" if the complete response arrived before the deadline. */
export type Serve = (attempt: Attempt) => Promise<'served' | 'refused' | 'late'>;
