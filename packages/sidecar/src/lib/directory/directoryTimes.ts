/** Timeouts and intervals of the directory, in milliseconds. */
export const directoryTimes = {
  /** Lease term of a node's record in the store; shorter store outages lose no records. */
  leaseTerm: 15_000,
  /** Interval between lease renewals; three of them may be lost. */
  renewalInterval: 4_000,
  /** Delay after a failed store call; failed calls are charged like successful ones. */
  retryDelay: 1_000,
  /** Mean interval between exchanges with a random node. */
  exchangeInterval: 3_000,
  /** Time without contact after which a node that has no record in the store is removed. */
  removalTimeout: 20_000,
  /** Interval between reads of all records in the store. */
  storeReadInterval: 30_000,
  /** Timeout of waiting for the first member of a service. */
  firstMemberTimeout: 1_000,
} as const;
