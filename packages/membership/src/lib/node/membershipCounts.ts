/**
 * Limits on nodes, records and attempts in membership.
 *
 * @internal
 */
export const membershipCounts = {
  contactsPerZone: 3,
  indirectProbes: 3,
  /** Records piggybacked on one probe message, of about 130 bytes each. */
  piggybackedRecords: 6,
  pushAttempts: 3,
  /** Records that a contact returns for a service of which the node knows no member. */
  recordsPerLookup: 8,
  /** Records that a contact returns when the node looks for members missing from its table. */
  recordsPerComparison: 2,
  /** Contacts of other zones to register with if this node's zone has no live contact. */
  otherZoneContacts: 3,
} as const;
