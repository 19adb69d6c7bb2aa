import type { QueuedCall } from './QueuedCall';

/**
 * Queue of one priority's calls that shares slots fairly between accounts.
 *
 * @internal
 */
export interface FairQueue {
  readonly size: () => number;
  /** @returns Number of queued calls of an account. */
  readonly lengthOf: (accountKey: string) => number;
  readonly add: (call: QueuedCall) => void;
  /** @returns The next call, without removing it. */
  readonly peek: () => QueuedCall | undefined;
  /** Removes the next call and charges it to its account's flow. */
  readonly take: () => QueuedCall | undefined;
  /** Removes a call without charging its account. */
  readonly remove: (call: QueuedCall) => void;
  /** @returns The call to drop first: the shallowest of the account with the most queued calls. */
  readonly victim: () => QueuedCall | undefined;
}
