interface Grant {
  readonly sequence: number;
  readonly tokens: number;
  readonly expiresMilliseconds: number;
  spent: number;
}

/**
 * Grants from which entry nodes may still spend.
 *
 * @internal
 */
export interface OutstandingGrants {
  /** @returns Number of granted tokens that are neither reported as spent nor expired. */
  readonly tokens: () => number;
  readonly add: (sequence: number, tokens: number, expiresMilliseconds: number) => void;
  /** Applies a report, and returns the number of unspent tokens if the grant is closed. */
  readonly report: (sequence: number, spent: number, closed: boolean) => number;
  /** @returns Time at which the next grant expires, in milliseconds. */
  readonly nextExpiry: () => number | undefined;
  readonly expireNext: () => void;
}

/**
 * @returns An empty collection.
 * @internal
 */
export function createOutstandingGrants(): OutstandingGrants {
  // Ordered by expiry, because the end of a held lease never moves back within an epoch.
  const grants = new Map<number, Grant>();
  let total = 0;

  const remove = (grant: Grant): void => {
    total -= grant.tokens - grant.spent;
    grants.delete(grant.sequence);
  };

  const first = (): Grant | undefined => grants.values().next().value;

  return {
    tokens: () => total,
    add: (sequence, tokens, expiresMilliseconds) => {
      grants.set(sequence, { sequence, tokens, expiresMilliseconds, spent: 0 });
      total += tokens;
    },
    report: (sequence, spent, closed) => {
      const grant = grants.get(sequence);
      if (!grant) return 0;
      const known = Math.min(grant.tokens, Math.max(grant.spent, spent));
      total -= known - grant.spent;
      grant.spent = known;
      const unspent = grant.tokens - known;
      if (closed || unspent === 0) remove(grant);
      return closed ? unspent : 0;
    },
    nextExpiry: () => first()?.expiresMilliseconds,
    expireNext: () => {
      const grant = first();
      if (grant) remove(grant);
    },
  };
}
