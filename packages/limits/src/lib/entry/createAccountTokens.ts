import type { PartitionId } from '@buckthornslip/common';

import type { GrantReport } from '../messages/GrantReport';
import type { AccountTokens, ReceivedGrant } from './AccountTokens';

interface StoredGrant extends ReceivedGrant {
  spent: number;
  closed: boolean;
  reportedSpent: number;
  reportedClosed: boolean;
}

const keyOf = ({ epoch, sequence }: Pick<GrantReport, 'epoch' | 'sequence'>): string =>
  `${epoch}/${sequence}`;

const isUnreported = (grant: StoredGrant): boolean =>
  grant.spent > grant.reportedSpent || grant.closed !== grant.reportedClosed;

/**
 * @param now - Monotonic time in milliseconds.
 * @returns An empty set of grants.
 * @internal
 */
export function createAccountTokens(now: () => number): AccountTokens {
  const grants = new Map<PartitionId, Map<string, StoredGrant>>();

  /**
   * Grants without tokens are kept until they expire, so that a duplicate response is recognized.
   */
  const activeGrants = (): StoredGrant[] => {
    const time = now();
    const active: StoredGrant[] = [];
    for (const partitionGrants of grants.values()) {
      for (const [key, grant] of partitionGrants) {
        if (grant.expiresMilliseconds > time) active.push(grant);
        else partitionGrants.delete(key);
      }
    }
    return active;
  };

  const spendable = (): StoredGrant[] =>
    activeGrants().filter((grant) => !grant.closed && grant.spent < grant.tokens);

  const firstToExpire = (): StoredGrant | undefined => {
    let first: StoredGrant | undefined;
    for (const grant of spendable()) {
      if (!first || grant.expiresMilliseconds < first.expiresMilliseconds) first = grant;
    }
    return first;
  };

  return {
    add: (grant) => {
      if (grant.expiresMilliseconds <= now()) return;
      const partitionGrants = grants.get(grant.partition) ?? new Map<string, StoredGrant>();
      grants.set(grant.partition, partitionGrants);
      if (partitionGrants.has(keyOf(grant))) return;
      const usage = { spent: 0, closed: false, reportedSpent: 0, reportedClosed: false };
      partitionGrants.set(keyOf(grant), { ...grant, ...usage });
    },
    take: () => {
      const grant = firstToExpire();
      if (!grant) return false;
      grant.spent += 1;
      return true;
    },
    available: () => spendable().reduce((sum, grant) => sum + grant.tokens - grant.spent, 0),
    closeExpiring: (withinMilliseconds) => {
      const limit = now() + withinMilliseconds;
      for (const grant of spendable()) {
        if (grant.expiresMilliseconds <= limit) grant.closed = true;
      }
    },
    reports: (partition) =>
      activeGrants()
        .filter((grant) => grant.partition === partition && isUnreported(grant))
        .map(({ epoch, sequence, spent, closed }) => ({ epoch, sequence, spent, closed })),
    acknowledge: (reports) => {
      const byKey = new Map(reports.map((report) => [keyOf(report), report]));
      for (const grant of activeGrants()) {
        const report = byKey.get(keyOf(grant));
        if (!report) continue;
        grant.reportedSpent = Math.max(grant.reportedSpent, report.spent);
        grant.reportedClosed ||= report.closed;
      }
    },
    nextExpiry: () => firstToExpire()?.expiresMilliseconds,
    hasUnreported: (partition) =>
      activeGrants().some((grant) => grant.partition === partition && isUnreported(grant)),
  };
}
