import type { AccountId, Clock, RandomSource } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { PendingWrite } from './PendingWrite';
import type { SplitHost } from './SplitHost';
import type { AccountSplit, SplitRecord } from './SplitRecord';
import { splitRecordCodec } from './splitRecordCodec';
import type { SplitStore } from './SplitStore';
import { withMove } from './withMove';

/** Interval at which the record is read, in milliseconds. */
const READ_INTERVAL_MILLISECONDS = 2_000;

/**
 * Initial retry delay after a failure or a conflict, in milliseconds. It doubles with each
 * consecutive one.
 */
const RETRY_MILLISECONDS = 100;

const EMPTY_RECORD: SplitRecord = { epochs: new Map(), accounts: new Map() };

/** Result of one round: the stored record is up to date, or another round is needed soon. */
type Round = 'settled' | 'again';

/**
 * Synchronizes the split record of one group with the token server of one region's partition.
 *
 * @internal
 */
export interface SplitSynchronizer {
  /** Synchronizes the record until the signal is aborted. */
  readonly run: (signal: AbortSignal) => Promise<void>;
  /** Starts the next round at once. */
  readonly wake: () => void;
}

/**
 * Creates the synchronizer of a split record. Before it uses its parts, the token server claims them by
 * writing its epoch: later writes of earlier epochs then fail, because the revision has changed.
 *
 * @param options - Dependencies, the key of the record and the token server's side.
 * @returns The synchronizer.
 * @internal
 */
export function createSplitSynchronizer(options: {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly store: SplitStore;
  readonly key: string;
  readonly host: SplitHost;
  readonly logger: EventLogger;
  readonly splitReadMilliseconds?: number;
}): SplitSynchronizer {
  const { clock, random, store, key, host, logger } = options;
  const readInterval = options.splitReadMilliseconds ?? READ_INTERVAL_MILLISECONDS;
  let known: { readonly record: SplitRecord; readonly revision: number } | undefined;
  let pending: PendingWrite | undefined;
  let wakeNow: (() => void) | undefined;
  let failures = 0;

  /** Logs only the first failure of an outage. */
  const logFailure = (kind: string): void => {
    if (failures === 0) logger.log('limitSplitUnavailable', { key, kind });
  };

  const adopt = (
    record: SplitRecord,
    revision: number,
    created: ReadonlySet<AccountId> = new Set(),
  ): void => {
    known = { record, revision };
    if (pending && revision > pending.expectedRevision) pending = undefined;
    if (record.epochs.get(host.region) === host.epoch) host.useRecord(record, created);
  };

  const read = async (): Promise<boolean> => {
    const result = await store.get(key);
    if (!result.ok) {
      logFailure(result.error.kind);
      return false;
    }
    const { value, revision } = result.value ?? { value: '', revision: 0 };
    // Responses may arrive out of order.
    if (known && revision < known.revision) return false;
    const decoded = value === '' ? undefined : splitRecordCodec.decode(value);
    if (decoded?.ok === false) {
      logger.log('limitSplitInvalid', { key, revision });
      return false;
    }
    // An unchanged revision does not prove that a write with an unknown result has failed.
    if (revision !== known?.revision) adopt(decoded?.value ?? EMPTY_RECORD, revision);
    return true;
  };

  const withDemands = (
    accounts: Map<AccountId, AccountSplit>,
    demands: ReadonlyMap<AccountId, number>,
  ): void => {
    demands.forEach((demand, account) => {
      const split = accounts.get(account);
      if (!split) return;
      accounts.set(account, { ...split, wants: new Map(split.wants).set(host.region, demand) });
    });
  };

  /** Prepares the next write, or returns undefined if the record is up to date. */
  const prepare = (record: SplitRecord, revision: number): PendingWrite | undefined => {
    const missing = host.missingSplits(record);
    const demands = host.changedDemand(record);
    const moves = host.debit(record);
    const isClaimed = record.epochs.get(host.region) === host.epoch;
    if (isClaimed && missing.size + demands.size + moves.size === 0) return undefined;
    const accounts = new Map([...record.accounts, ...missing]);
    withDemands(accounts, demands);
    moves.forEach((move, account) => {
      const split = accounts.get(account);
      if (split) accounts.set(account, withMove(split, host.region, move));
    });
    const epochs = new Map(record.epochs).set(host.region, host.epoch);
    return {
      expectedRevision: revision,
      record: { epochs, accounts },
      created: new Set(missing.keys()),
      moves,
    };
  };

  const write = async (next: PendingWrite): Promise<Round> => {
    // Set before the write is sent: until the revision has changed, it may take effect at any time.
    pending = next;
    const value = splitRecordCodec.encode(next.record);
    const result = await store.compareAndSwap(key, next.expectedRevision, value);
    if (result.ok) {
      adopt(next.record, result.value, next.created);
      next.moves.forEach(({ recipient, part }, account) =>
        logger.log('limitPartMoved', { account, from: host.region, to: recipient, part }),
      );
      return 'settled';
    }
    if (result.error.kind === 'conflict') return 'again';
    logFailure(result.error.kind);
    return 'again';
  };

  const isSuperseded = (record: SplitRecord): boolean =>
    (record.epochs.get(host.region) ?? 0) > host.epoch;

  const round = async (): Promise<Round> => {
    if (!(await read()) || !known || !host.isHolder()) return 'again';
    const { record, revision } = known;
    if (isSuperseded(record)) return 'settled';
    // A write whose result is unknown is retried unchanged until the revision has changed.
    const next = pending ?? prepare(record, revision);
    return next ? write(next) : 'settled';
  };

  const pause = async (milliseconds: number, signal: AbortSignal): Promise<void> => {
    const abort = new AbortController();
    const stop = (): void => abort.abort();
    signal.addEventListener('abort', stop, { once: true });
    wakeNow = stop;
    await clock.sleep(milliseconds, abort.signal);
    signal.removeEventListener('abort', stop);
    wakeNow = undefined;
  };

  return {
    run: async (signal) => {
      while (!signal.aborted) {
        const isSettled = (await round()) === 'settled';
        failures = isSettled ? 0 : failures + 1;
        const interval = isSettled
          ? readInterval
          : Math.min(readInterval, RETRY_MILLISECONDS * 2 ** (failures - 1));
        if (!signal.aborted) await pause(interval * (0.75 + random.next() / 2), signal);
      }
    },
    wake: () => wakeNow?.(),
  };
}
