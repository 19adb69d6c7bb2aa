import type { Clock, Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { Store, StoreEra, StoreError, StoreLease } from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';

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
  const { clock, key, logger, onWritten, rewriteDelayMilliseconds, store, value } = options;
  let record: WrittenRecord | undefined;
  let requestedEra = NO_STORE_ERA;
  let isClosed = false;
  let isReachable = true;
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

  const put = async (
    { era, id }: StoreLease,
    expectedRevision: number,
  ): ReturnType<Store['compareAndSwap']> => {
    const first = await store.compareAndSwap(key, expectedRevision, value(), id, era);
    if (first.ok || first.error.kind !== 'conflict') return first;
    // The key holds the record of an earlier process on this host; replace it.
    const revision = first.error.current?.revision ?? 0;
    return store.compareAndSwap(key, revision, value(), id, era);
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

  const write = (isRestored: boolean): Promise<Result<unknown, StoreError>> => {
    const result = writeOnce(isRestored);
    writing = result;
    return result;
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
    return isOutdated() ? rewriteLater() : renew(record);
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
      const isRewritten = isRenewalLost || (result.ok && isOutdated());
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
