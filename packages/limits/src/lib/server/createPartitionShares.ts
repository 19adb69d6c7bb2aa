import type { AccountId } from '@buckthornslip/common';
import type { AccountDefinition } from '@buckthornslip/config';
import type { HeldLease } from '@buckthornslip/leases';

import type { GrantRequest } from '../messages/GrantRequest';
import type { GrantResponse } from '../messages/GrantResponse';
import { initialParts } from '../split/initialParts';
import { planPartMove, planWholeMove } from '../split/planMoves';
import type { SplitMove } from '../split/planMoves';
import { SMALL_BURST } from '../split/SMALL_BURST';
import type { SplitHost } from '../split/SplitHost';
import type { AccountSplit, SplitRecord } from '../split/SplitRecord';
import { WHOLE } from '../split/WHOLE';
import type { AccountShare } from './AccountShare';
import { createAccountShare } from './createAccountShare';
import { GRANT_LIFE_MILLISECONDS } from './GRANT_LIFE_MILLISECONDS';
import type { TokenServerOptions } from './TokenServerOptions';

/** Advice when to ask again while the split record is being read or written, in milliseconds. */
const NOT_READY_MILLISECONDS = 100;

/** Advice for accounts that are not in this node's manifest, in milliseconds. */
const UNKNOWN_ACCOUNT_MILLISECONDS = 1_000;

/** Time over which demand is averaged: long enough that a short peak moves nothing. */
const DEMAND_AVERAGE_MILLISECONDS = 20_000;

/** Change of a region's demand that is worth a write. */
const WANT_STEP = 0.02 * WHOLE;

/**
 * Shares of the accounts of one partition during one epoch of its lease.
 *
 * @internal
 */
export interface PartitionShares {
  readonly epoch: number;
  readonly host: SplitHost;
  readonly handle: (request: GrantRequest, hold: HeldLease) => GrantResponse;
}

/**
 * @param options - What the share holder was created with.
 * @param group - Group of the partition.
 * @param hold - The lease at the beginning of the epoch.
 * @param onMissing - Called when a requested account is not in the split record yet.
 * @returns Shares that grant nothing until the split record has been claimed.
 * @internal
 */
export function createPartitionShares(
  options: TokenServerOptions,
  group: number,
  hold: HeldLease,
  onMissing: () => void,
): PartitionShares {
  const { clock, region, grouping, leases } = options;
  const now = clock.monotonicMilliseconds;
  const frozenUntil = now() + GRANT_LIFE_MILLISECONDS;
  const shares = new Map<AccountId, AccountShare>();
  /** Moves whose part is no longer used here, but not yet given away in the record. */
  const debits = new Map<AccountId, SplitMove>();
  let current: SplitRecord | undefined;

  const shareOf = (account: AccountId, isFull: boolean): AccountShare => {
    const known = shares.get(account);
    if (known) return known;
    // Nobody has ever granted tokens of an account that this epoch created, so nothing is outstanding.
    const start = isFull ? now() : frozenUntil;
    const average = options.demandAverageMilliseconds ?? DEMAND_AVERAGE_MILLISECONDS;
    const share = createAccountShare(now, start, isFull, average);
    shares.set(account, share);
    return share;
  };

  const ownPart = (account: AccountId): number =>
    (current?.accounts.get(account)?.parts.get(region) ?? 0) - (debits.get(account)?.part ?? 0);

  const use = (record: SplitRecord, created: ReadonlySet<AccountId>): void => {
    // Any newer record either contains the debited moves or proves that they were not written.
    debits.clear();
    current = record;
    record.accounts.forEach((_, account) => {
      const definition = options.accounts().get(account);
      if (!definition) return;
      shareOf(account, created.has(account)).apply(definition, ownPart(account));
    });
  };

  const missing = (record: SplitRecord): ReadonlyMap<AccountId, AccountSplit> => {
    const splits = new Map<AccountId, AccountSplit>();
    for (const [account, definition] of options.accounts()) {
      if (grouping.groupOf(account) !== group || record.accounts.has(account)) continue;
      const parts = initialParts(definition, options.regions(), grouping);
      splits.set(account, { parts, wants: new Map() });
    }
    return splits;
  };

  const isWhole = (definition: AccountDefinition, split: AccountSplit): boolean =>
    definition.burst < SMALL_BURST && (split.parts.get(region) ?? 0) >= WHOLE / 2;

  const wantOf = (share: AccountShare, definition: AccountDefinition): number => {
    const perSecond = share.demand.perSecond().get(region) ?? 0;
    return Math.round(Math.min(1, perSecond / definition.ratePerSecond) * WHOLE);
  };

  const changedWants = (record: SplitRecord): ReadonlyMap<AccountId, number> => {
    const wants = new Map<AccountId, number>();
    for (const [account, share] of shares) {
      const definition = options.accounts().get(account);
      const split = record.accounts.get(account);
      const isDivided = definition && split && !isWhole(definition, split) && split.parts.size > 1;
      if (!isDivided || !share.demand.isSettled()) continue;
      const want = wantOf(share, definition);
      const published = split.wants.get(region) ?? 0;
      if (Math.abs(want - published) >= WANT_STEP) wants.set(account, want);
    }
    return wants;
  };

  const plan = (
    share: AccountShare,
    definition: AccountDefinition,
    split: AccountSplit,
  ): SplitMove | undefined => {
    if (!share.demand.isSettled()) return undefined;
    const part = split.parts.get(region) ?? 0;
    return isWhole(definition, split)
      ? planWholeMove(part, region, share.demand.perSecond())
      : planPartMove(split, region, wantOf(share, definition));
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
      share.apply(definition, ownPart(account));
      if (share.bucket.fits((definition.burst * ownPart(account)) / WHOLE))
        ready.set(account, move);
    }
    return ready;
  };

  const otherOwner = (account: AccountId): GrantResponse | undefined => {
    const parts = current?.accounts.get(account)?.parts;
    if (!parts || (parts.get(region) ?? 0) > 0) return undefined;
    const [owner] = [...parts].sort(([, first], [, second]) => second - first);
    return owner && owner[1] > 0 ? { kind: 'other-region', region: owner[0] } : undefined;
  };

  const empty = (retryAfterMilliseconds: number): GrantResponse => ({
    kind: 'empty',
    retryAfterMilliseconds,
  });

  const grant = (share: AccountShare, request: GrantRequest, held: HeldLease): GrantResponse => {
    const lifeMilliseconds = Math.min(GRANT_LIFE_MILLISECONDS, held.remainingMilliseconds());
    const { sequence, tokens } = share.bucket.grant(
      request.needed,
      request.ahead,
      lifeMilliseconds,
    );
    if (tokens === 0) return empty(share.bucket.retryAfterMilliseconds());
    return { kind: 'granted', epoch: hold.epoch, sequence, tokens, lifeMilliseconds };
  };

  return {
    epoch: hold.epoch,
    host: {
      region,
      epoch: hold.epoch,
      isHolder: () => leases.heldLease(hold.partition)?.epoch === hold.epoch,
      use,
      missing,
      changedWants,
      debit,
    },
    handle: (request, held) => {
      const definition = options.accounts().get(request.account);
      if (!definition) return empty(UNKNOWN_ACCOUNT_MILLISECONDS);
      const share = shares.get(request.account);
      if (!share) {
        onMissing();
        return empty(NOT_READY_MILLISECONDS);
      }
      share.redefine(definition);
      share.demand.add(request.region, request.demand);
      request.reports
        .filter((report) => report.epoch === hold.epoch)
        .forEach((report) => share.bucket.applyReport(report));
      return otherOwner(request.account) ?? grant(share, request, held);
    },
  };
}
