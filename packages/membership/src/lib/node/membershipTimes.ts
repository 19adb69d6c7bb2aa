/**
 * Times of membership, in milliseconds.
 *
 * @internal
 */
export const membershipTimes = {
  probePeriod: 1_000,
  probeTimeout: 300,
  // Two probes between regions fit in, and with the direct probe it stays below the probe period.
  indirectProbeTimeout: 500,
  suspicionTimeout: 3_000,
  // Six more probes during a suspicion make it unlikely that loss alone kills a live member.
  suspicionProbePeriod: 500,
  // A suspicion heard from others is checked by this node if its source has not decided by then.
  reportedSuspicionTimeout: 6_000,
  pushTimeout: 300,
  pullTimeout: 500,
  pullPeriod: 1_000,
  /** Subscribers that have not pulled for this long get no pushes. */
  subscriberTimeToLive: 3_500,
  /** Time in which changes for subscribers are collected into one message. */
  forwardDelay: 20,
  discoveryPeriod: 30_000,
  /** Period of discovery while no other member is known. */
  isolatedDiscoveryPeriod: 1_000,
  antiEntropyPeriod: 10_000,
  /** Members that join at the same time miss each other in the first roster, so they compare sooner. */
  joiningAntiEntropyPeriod: 2_000,
  joiningDuration: 15_000,
  deadProbePeriod: 5_000,
  /** Longer than regions are usually separated, so that both sides find each other again. */
  departedRetention: 3 * 3_600_000,
  registrationPeriod: 3_000,
  registrationTimeout: 1_000,
  registrationTimeToLive: 10_000,
  contactLeaseTimeToLive: 15_000,
  contactTimeToLive: 15_000,
  contactKeepAlivePeriod: 5_000,
  contactListPeriod: 6_000,
  /** Time after which a new contact reads the store again; all that started with it have written by then. */
  contactRelistDelay: 750,
  /** Addresses of contacts that do not answer are kept this long. */
  contactRetention: 2 * 3_600_000,
  /** Nodes that start together read the store again after a random part of this time. */
  maximumContactRoleDelay: 500,
  findTimeout: 500,
  inviteTimeout: 1_000,
} as const;
