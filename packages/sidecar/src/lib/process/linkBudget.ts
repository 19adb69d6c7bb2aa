/**
 * Part of the link to another region that one node may use for calls. A link of 30 Mbit/s carries 3.75 MB a second; about
 * eight nodes of a region use it at once.
 */
export const linkBudget = {
  bytesPerSecond: 400_000,
  burstBytes: 4_000_000,
  largeBodyBytes: 262_144,
} as const;
