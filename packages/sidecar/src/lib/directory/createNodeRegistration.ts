import type { Clock, Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { Store, StoreEra, StoreError, StoreLease } from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';
import { BehaviorSubject, filter, firstValueFrom } from 'rxjs';

import { directoryTimes } from './directoryTimes';
import type { StorePosition } from './StorePosition';

/** Dependencies and settings of the registration. */
interface NodeRegistrationOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly key: string;
  /** @returns The value to write. */
  readonly value: () => Uint8Array;
  readonly logger: EventLogger;
  /** @returns Delay before the record is written again in a new era of the store, in milliseconds. */
  readonly rewriteDelayMilliseconds: () => number;
  /** Called with the value that is about to be replaced by the first write of this process or of a new lease. */
  readonly onEarlierValue: (value: Uint8Array) => void;
  /** Called with the position of the record each time it has been written under a new lease. */
  readonly onWritten: (position: StorePosition) => void;
}

/**
 * Registration of this node: its record in the store under a lease.
 *
 * @internal
 */
export interface NodeRegistration {
  readonly start: () => void;
  /** Writes the record again under a new lease, after a delay, unless it has been written in that era of the store. */
  readonly rewrite: (era: StoreEra) => void;
  /** Writes the present value under the present lease, as soon as the store accepts it. */
  readonly save: () => void;
  /** @returns A promise that resolves when the store has accepted all values that were to be saved. */
  readonly whenSaved: () => Promise<void>;
  readonly deregister: () => Promise<void>;
  readonly close: () => void;
}

/** The record as it was last written. */
interface WrittenRecord extends StorePosition {
  readonly lease: StoreLease;
}

/**
 * Creates the registration of this node. It writes the record again under a new lease when the previous one has
 * expired, or when the store was restored: the record may be lost or old, and the id of its lease may name another
 * node's lease.
 *
 * @param options - Dependencies, such as the store, and the key and value of the record.
 * @returns The registration, not yet started.
 * @internal
 */
export function createNodeRegistration(options: NodeRegistrationOptions): NodeRegistration {
  const { clock, key, logger, onEarlierValue, onWritten, rewriteDelayMilliseconds, store, value } =
    options;
  let record: WrittenRecord | undefined;
  let requestedEra = NO_STORE_ERA;
  let isClosed = false;
  let isReachable = true;
  /** Number of values that were to be saved, and how many of them the store has accepted. */
  const saves$ = new BehaviorSubject({ requested: 0, accepted: 0 });
  /** The write in progress, which a departing node has to wait for. */
  let writing: Promise<unknown> = Promise.resolve();
  const closing = new AbortController();
  /** Ends the pause until the next renewal. */
  let pausing = new AbortController();

  const setReachable = (reachable: boolean, reason?: string): void => {
    if (reachable === isReachable) return;
    isReachable = reachable;
    logger.log(reachable ? 'storeRegained' : 'storeLost', { key, reason });
  };

  /** @returns Whether the record may have been lost in a restore of the store. */
  const isOutdated = (): boolean =>
    record !== undefined && (record.era < requestedEra || record.era !== store.era());

  /** @returns Revision that the record is expected to have: it usually exists in a restored store, and not in another one. */
  const readRevision = async (isRestored: boolean): Promise<Result<number, StoreError>> => {
    if (!isRestored) return success(0);
    const read = await store.get(key);
    return read.ok ? success(read.value?.revision ?? 0) : read;
  };

  const isSaved = (): boolean => saves$.value.accepted === saves$.value.requested;

  const putOnce = async (
    { era, id }: StoreLease,
    expectedRevision: number,
  ): ReturnType<Store['compareAndSwap']> => {
    const accepted = saves$.value.requested;
    const written = await store.compareAndSwap(key, expectedRevision, value(), id, era);
    if (written.ok) saves$.next({ ...saves$.value, accepted });
    return written;
  };

  const put = async (
    lease: StoreLease,
    expectedRevision: number,
  ): ReturnType<Store['compareAndSwap']> => {
    const first = await putOnce(lease, expectedRevision);
    if (first.ok || first.error.kind !== 'conflict') return first;
    // The key holds the record of an earlier process on this host; replace it.
    const { current } = first.error;
    if (current) onEarlierValue(current.value);
    return putOnce(lease, current?.revision ?? 0);
  };

  const writeOnce = async (isRestored: boolean): Promise<Result<unknown, StoreError>> => {
    const granted = await store.grantLease(directoryTimes.leaseTerm);
    if (!granted.ok) return granted;
    const expected = await readRevision(isRestored);
    // The record of a node that has left must not come back.
    if (!expected.ok || isClosed) return expected;
    const written = await put(granted.value, expected.value);
    if (!written.ok) return written;
    const { era } = granted.value;
    record = { lease: granted.value, revision: written.value, era };
    requestedEra = era;
    if (!isClosed) onWritten(record);
    return written;
  };

  /** Keeps the result of a write, for a departing node to wait for. */
  const track = (result: Promise<Result<unknown, StoreError>>): typeof result => {
    writing = result;
    return result;
  };

  const write = (isRestored: boolean): Promise<Result<unknown, StoreError>> =>
    track(writeOnce(isRestored));

  /** Writes a value that is to be saved under the present lease. */
  const update = async ({
    lease,
    revision,
  }: WrittenRecord): Promise<Result<unknown, StoreError>> => {
    const written = await put(lease, revision);
    if (written.ok) record = { lease, revision: written.value, era: lease.era };
    else if (written.error.kind === 'lease-not-found' && !isOutdated()) record = undefined;
    return written;
  };

  const renew = async ({ era, lease }: WrittenRecord): Promise<Result<unknown, StoreError>> => {
    const renewed = await store.keepAlive(lease.id, era);
    if (renewed.ok || renewed.error.kind !== 'lease-not-found') return renewed;
    if (!isOutdated()) record = undefined;
    return renewed;
  };

  /** Restored stores get the records of all nodes at once, so each node waits for a random time. */
  const rewriteLater = async (): Promise<Result<unknown, StoreError>> => {
    const delayMilliseconds = Math.round(rewriteDelayMilliseconds());
    await clock.sleep(delayMilliseconds, closing.signal);
    if (isClosed) return failure({ kind: 'unavailable' });
    const result = await write(true);
    if (result.ok) logger.log('recordRewritten', { key, era: requestedEra, delayMilliseconds });
    return result;
  };

  const step = (): Promise<Result<unknown, StoreError>> => {
    if (record === undefined) return write(false);
    if (isOutdated()) return rewriteLater();
    return isSaved() ? renew(record) : track(update(record));
  };

  const run = async (): Promise<void> => {
    while (!isClosed) {
      const written = record;
      const result = await step();
      const isLeaseLost = !result.ok && result.error.kind === 'lease-not-found';
      const isKept = result.ok || isLeaseLost || record === undefined;
      setReachable(isKept, result.ok ? undefined : result.error.kind);
      const pause = result.ok ? directoryTimes.renewalInterval : directoryTimes.retryDelay;
      // A write whose new lease is not found either would otherwise be repeated without a pause.
      const isRenewalLost = isLeaseLost && written !== undefined;
      const isRewritten = isRenewalLost || (result.ok && (isOutdated() || !isSaved()));
      pausing = new AbortController();
      if (!isRewritten) await clock.sleep(pause, pausing.signal);
    }
  };

  return {
    start: () => {
      void run();
    },
    rewrite: (era) => {
      if (era > requestedEra) requestedEra = era;
      if (isOutdated()) pausing.abort();
    },
    save: () => {
      saves$.next({ ...saves$.value, requested: saves$.value.requested + 1 });
      pausing.abort();
    },
    whenSaved: async () => {
      await firstValueFrom(saves$.pipe(filter(isSaved)));
    },
    deregister: async () => {
      isClosed = true;
      closing.abort();
      await writing;
      // The id of a lease may name another node's after a restore; a key and its revision never do.
      if (record) await store.remove(key, record.revision, record.era);
    },
    close: () => {
      isClosed = true;
      closing.abort();
    },
  };
}
