/**
 * Numbers of nodes, records and attempts in membership.
 *
 * @internal
 */
export const membershipCounts = {
  contactsPerZone: 3,
  indirectProbes: 3,
  /** Records on one probe message, at about 130 bytes each. */
  piggybackedRecords: 6,
  pushAttempts: 3,
  /** Records that a contact gives for a service of which the node knows no member. */
  recordsPerLookup: 8,
  /** Records that a contact gives when the node looks for members missing in its table. */
  recordsPerComparison: 2,
  /** Contacts of other zones that are asked when the own zone does not answer. */
  otherZoneContacts: 3,
} as const;
