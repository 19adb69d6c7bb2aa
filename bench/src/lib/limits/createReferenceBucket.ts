/** Tolerance for rounding errors of sums of fractions. */
const TOLERANCE = 1e-6;

/** Token bucket with the whole rate and burst of an account, which tells conforming calls from excess. */
export interface ReferenceBucket {
  /** Spends a token if there is one. Returns whether it did. */
  readonly spend: (nowMilliseconds: number) => boolean;
}

/** Creates a full bucket. */
export function createReferenceBucket(ratePerSecond: number, burst: number): ReferenceBucket {
  let tokens = burst;
  let updated = 0;
  return {
    spend: (now) => {
      tokens = Math.min(burst, tokens + ((now - updated) * ratePerSecond) / 1_000);
      updated = now;
      if (tokens < 1 - TOLERANCE) return false;
      tokens -= 1;
      return true;
    },
  };
}
