import type { AccountId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import type { HeldLease } from '@buckthornslip/leases';

import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';
import { FULL_SHARE } from '../split/FULL_SHARE';
import { initialParts } from '../split/initialParts';
import { MINIMUM_DIVIDED_BURST } from '../split/MINIMUM_DIVIDED_BURST';
import { planAccountMove, planPartMove } from '../split/planMoves';
import type { SplitMove } from '../split/planMoves';
import type { SplitHost } from '../split/SplitHost';
import type { AccountSplit, SplitRecord } from '../split/SplitRecord';
import type { AccountShare } from './AccountShare';
import { createAccountShare } from './createAccountShare';
import { GRANT_LIFETIME_MILLISECONDS } from './GRANT_LIFETIME_MILLISECONDS';
import type { TokenServerOptions } from './TokenServerOptions';

/** Retry delay while the split record is being read or written, in milliseconds. */
const NOT_READY_RETRY_MILLISECONDS = 100;

/** Retry delay for accounts that are not in this node's manifest, which may contain them by then, in milliseconds. */
const UNKNOWN_ACCOUNT_RETRY_MILLISECONDS = 1_000;

/**
 * Time over which demand is averaged: long enough that a short peak does not move parts between
 * regions.
 */
const DEMAND_AVERAGE_MILLISECONDS = 20_000;

/** Minimum change of a region's demand that is worth a write of the split record, in millionths of the rate. */
const MINIMUM_DEMAND_CHANGE = 0.02 * FULL_SHARE;

/**
 * Shares of the accounts in one partition during one epoch of its lease.
 *
 * @internal
 */
export interface PartitionShares {
  readonly epoch: number;
  readonly host: SplitHost;
  readonly handle: (request: GrantRequest, lease: HeldLease) => GrantResponse;
}

/**
 * Creates the shares of a partition for one epoch of its lease.
 *
 * @param options - Options of the token server.
 * @param group - Group number of the partition.
 * @param initialLease - The lease at the start of the epoch.
 * @param onMissingAccount - Called when tokens are requested for an account that is not in the split record yet.
 * @returns Shares that grant no tokens until this epoch has claimed the split record.
 * @internal
 */
export function createPartitionShares(
  options: TokenServerOptions,
  group: number,
  initialLease: HeldLease,
  onMissingAccount: () => void,
): PartitionShares {
  const { clock, region, grouping, leases } = options;
  const now = clock.monotonicMilliseconds;
  const frozenUntil = now() + GRANT_LIFETIME_MILLISECONDS;
  const shares = new Map<AccountId, AccountShare>();
  /**
   * Moves whose part is no longer used in this region, but not yet transferred in the stored
   * record.
   */
  const debits = new Map<AccountId, SplitMove>();
  let current: SplitRecord | undefined;

  const shareOf = (account: AccountId, isFull: boolean): AccountShare => {
    const known = shares.get(account);
    if (known) return known;
    // No tokens of an account that this epoch added to the record have ever been granted, so none are outstanding.
    const start = isFull ? now() : frozenUntil;
    const average = options.demandAverageMilliseconds ?? DEMAND_AVERAGE_MILLISECONDS;
    const share = createAccountShare(now, start, isFull, average);
    shares.set(account, share);
    return share;
  };

  const availablePart = (account: AccountId): number =>
    (current?.accounts.get(account)?.parts.get(region) ?? 0) - (debits.get(account)?.part ?? 0);

  const useRecord = (record: SplitRecord, created: ReadonlySet<AccountId>): void => {
    // A newer record either contains the debited moves or proves that they were not written.
    debits.clear();
    current = record;
    record.accounts.forEach((_, account) => {
      const definition = options.accounts().get(account);
      if (!definition) return;
      shareOf(account, created.has(account)).apply(definition, availablePart(account));
    });
  };

  const missingSplits = (record: SplitRecord): ReadonlyMap<AccountId, AccountSplit> => {
    const splits = new Map<AccountId, AccountSplit>();
    for (const [account, definition] of options.accounts()) {
      if (grouping.groupOf(account) !== group || record.accounts.has(account)) continue;
      const parts = initialParts(definition, options.regions(), grouping);
      splits.set(account, { parts, wants: new Map() });
    }
    return splits;
  };

  const isUndivided = (definition: AccountDefinition, split: AccountSplit): boolean =>
    definition.burst < MINIMUM_DIVIDED_BURST && (split.parts.get(region) ?? 0) >= FULL_SHARE / 2;

  const relativeDemandOf = (share: AccountShare, definition: AccountDefinition): number => {
    const perSecond = share.demand.perSecond().get(region) ?? 0;
    return Math.round(Math.min(1, perSecond / definition.ratePerSecond) * FULL_SHARE);
  };

  const changedDemand = (record: SplitRecord): ReadonlyMap<AccountId, number> => {
    const demands = new Map<AccountId, number>();
    for (const [account, share] of shares) {
      const definition = options.accounts().get(account);
      const split = record.accounts.get(account);
      const isDivided =
        definition && split && !isUndivided(definition, split) && split.parts.size > 1;
      if (!isDivided || !share.demand.isReliable()) continue;
      const demand = relativeDemandOf(share, definition);
      const published = split.wants.get(region) ?? 0;
      if (Math.abs(demand - published) >= MINIMUM_DEMAND_CHANGE) demands.set(account, demand);
    }
    return demands;
  };

  const plan = (
    share: AccountShare,
    definition: AccountDefinition,
    split: AccountSplit,
  ): SplitMove | undefined => {
    if (!share.demand.isReliable()) return undefined;
    const part = split.parts.get(region) ?? 0;
    return isUndivided(definition, split)
      ? planAccountMove(part, region, share.demand.perSecond())
      : planPartMove(split, region, relativeDemandOf(share, definition));
  };

  const debit = (record: SplitRecord): ReadonlyMap<AccountId, SplitMove> => {
    const ready = new Map<AccountId, SplitMove>();
    for (const [account, share] of shares) {
      const definition = options.accounts().get(account);
      const split = record.accounts.get(account);
      if (!definition || !split) continue;
      const move = debits.get(account) ?? plan(share, definition, split);
      if (!move) continue;
      debits.set(account, move);
      share.apply(definition, availablePart(account));
      if (share.bucket.fits((definition.burst * availablePart(account)) / FULL_SHARE))
        ready.set(account, move);
    }
    return ready;
  };

  const redirectToOwner = (account: AccountId): GrantResponse | undefined => {
    const parts = current?.accounts.get(account)?.parts;
    if (!parts || (parts.get(region) ?? 0) > 0) return undefined;
    const [owner] = [...parts].sort(([, first], [, second]) => second - first);
    return owner && owner[1] > 0 ? { kind: 'other-region', region: owner[0] } : undefined;
  };

  const empty = (retryAfterMilliseconds: number): GrantResponse => ({
    kind: 'empty',
    retryAfterMilliseconds,
  });

  const grant = (share: AccountShare, request: GrantRequest, lease: HeldLease): GrantResponse => {
    const lifeMilliseconds = Math.min(GRANT_LIFETIME_MILLISECONDS, lease.remainingMilliseconds());
    const { sequence, tokens } = share.bucket.grant(
      request.needed,
      request.ahead,
      lifeMilliseconds,
    );
    if (tokens === 0) return empty(share.bucket.retryAfterMilliseconds());
    return { kind: 'granted', epoch: initialLease.epoch, sequence, tokens, lifeMilliseconds };
  };

  return {
    epoch: initialLease.epoch,
    host: {
      region,
      epoch: initialLease.epoch,
      isHolder: () => leases.heldLease(initialLease.partition)?.epoch === initialLease.epoch,
      useRecord,
      missingSplits,
      changedDemand,
      debit,
    },
    handle: (request, lease) => {
      const definition = options.accounts().get(request.account);
      if (!definition) return empty(UNKNOWN_ACCOUNT_RETRY_MILLISECONDS);
      const share = shares.get(request.account);
      if (!share) {
        onMissingAccount();
        return empty(NOT_READY_RETRY_MILLISECONDS);
      }
      share.redefine(definition);
      share.demand.add(request.region, request.demand);
      request.reports
        .filter((report) => report.epoch === initialLease.epoch)
        .forEach((report) => share.bucket.applyReport(report));
      return redirectToOwner(request.account) ?? grant(share, request, lease);
    },
  };
}
