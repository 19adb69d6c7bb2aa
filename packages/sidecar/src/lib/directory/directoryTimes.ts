/** Timeouts and intervals of the directory, in milliseconds. */
export const directoryTimes = {
  /** Lease term of a node's record in the store; shorter store outages lose no records. */
  leaseTerm: 30_000,
  /** Interval between lease renewals; two of them may be lost. */
  renewalInterval: 9_000,
  /** Delay after a failed store call; failed calls are charged like successful ones. */
  retryDelay: 1_000,
  /** Mean interval between a node's exchanges with the relays of its zone. */
  exchangeInterval: 1_500,
  /** Time for which a relay collects changes before it passes them on. */
  changeDelay: 50,
  /** Time after the start at which a node decides whether it is a relay; until then it may not know its zone. */
  firstRoleDelay: 1_000,
  /**
   * Time from which a restarted node acts on the nodes it knows, even if it has not read the records of the others. It begins with the
   * first policy.
   */
  informedTimeout: 1_500,
  /** Interval at which a restarted node checks whether it has a policy. */
  policyCheckInterval: 250,
  /** Longest wait of an acknowledgement for the store; a departing upstream waits for a second in all. */
  departureSaveTimeout: 600,
  /** Delay before a policy is fetched from another zone, because the relays usually read it from the store. */
  remotePolicyDelay: 600,
  /** Time without contact after which a node that has no record in the store is removed. */
  removalTimeout: 20_000,
  /**
   * Time without contact to any other node after which a node is isolated: longer than the longest pause between two exchanges. The
   * others take it for dead at about the same time, after two exchanges have timed out.
   */
  isolationTimeout: 2_200,
  /** Time without any connection after which other nodes may take a node for dead, because connections to it are refused. */
  reconnectTime: 250,
  /** Time for which a node still counts as isolated after it has regained contact, until the others use its ledgers again. */
  rejoinDelay: 600,
  /** Interval between a relay's reads of all records in the store. */
  storeReadInterval: 30_000,
  /** Delay before records are read again if the store returned a state older than this node's own record. */
  staleReadDelay: 250,
} as const;
