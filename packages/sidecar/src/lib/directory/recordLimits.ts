/**
 * Largest values of a member record. A record that exceeds them could not be sent on to other nodes.
 *
 * @public
 */
export const recordLimits = {
  /** Slots and connections are 32-bit fields. */
  slots: 2_147_483_647,
  /** Milliseconds since 1970, with room to raise it above that of an earlier process. */
  incarnation: 2 ** 52,
  version: 2 ** 52,
} as const;
