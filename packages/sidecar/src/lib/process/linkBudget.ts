/**
 * Share of the link to another region that one node may use for calls. A link of 30 Mbit/s carries 3.75 MB per second,
 * and about eight nodes of a region use it at the same time.
 */
export const linkBudget = {
  bytesPerSecond: 400_000,
  burstBytes: 4_000_000,
  largeBodyBytes: 262_144,
} as const;
