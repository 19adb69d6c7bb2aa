/** Times of the directory, in milliseconds. */
export const directoryTimes = {
  /** Life of a node's record in the store after its last renewal; outages of the store up to this length lose nothing. */
  leaseTerm: 15_000,
  /** Time between renewals; three may be lost. */
  renewalInterval: 4_000,
  /** Pause after a failed call to the store; a failed call is charged like another. */
  retryDelay: 1_000,
  /** Time between comparisons with a random node. */
  exchangeInterval: 3_000,
  /** Time without any sign of a node after which it may be forgotten once the store has no record of it. */
  removalTimeout: 20_000,
  /** Time between complete readings of the records in the store. */
  storeReadInterval: 30_000,
  /** Longest wait for the first member of a service. */
  firstMemberTimeout: 1_000,
} as const;
