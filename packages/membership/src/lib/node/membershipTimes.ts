/**
 * Timing of membership, in milliseconds.
 *
 * @internal
 */
export const membershipTimes = {
  probePeriod: 1_000,
  probeTimeout: 300,
  // Long enough for two probes between regions; together with the direct probe it is shorter than the probe period.
  indirectProbeTimeout: 500,
  suspicionTimeout: 3_000,
  // Six more probes during a suspicion make it unlikely that message loss alone gets a live member declared dead.
  suspicionProbePeriod: 500,
  // After this time, a node checks a suspicion that it received from another node and that is still undecided.
  reportedSuspicionTimeout: 6_000,
  pushTimeout: 300,
  pullTimeout: 500,
  pullPeriod: 1_000,
  /** Changes are no longer pushed to a subscriber that has not pulled for this long. */
  subscriberTimeToLive: 3_500,
  /** Time for which changes are batched into one message to subscribers. */
  forwardDelay: 20,
  discoveryPeriod: 30_000,
  /** Discovery period while no other member is known. */
  isolatedDiscoveryPeriod: 1_000,
  antiEntropyPeriod: 10_000,
  /** Members that join at the same time are missing from each other's first roster, so they compare more often. */
  joiningAntiEntropyPeriod: 2_000,
  joiningDuration: 15_000,
  deadProbePeriod: 5_000,
  /** Longer than a usual network partition between regions, so that both sides find each other again. */
  departedRetention: 3 * 3_600_000,
  registrationPeriod: 3_000,
  registrationTimeout: 1_000,
  registrationTimeToLive: 10_000,
  contactLeaseTimeToLive: 15_000,
  contactTimeToLive: 15_000,
  contactKeepAlivePeriod: 5_000,
  contactListPeriod: 6_000,
  /** Delay after which a new contact reads the store again; contacts that started with it have written by then. */
  contactRelistDelay: 750,
  /** Time for which addresses of contacts that do not answer are kept. */
  contactRetention: 2 * 3_600_000,
  /** Nodes that start at the same time read the store again after a random delay of up to this time. */
  maximumContactRoleDelay: 500,
  findTimeout: 500,
  inviteTimeout: 1_000,
} as const;
