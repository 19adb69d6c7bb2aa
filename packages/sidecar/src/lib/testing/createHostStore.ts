import type { Clock, Result } from '@buckthornslip/common';
import { failure } from '@buckthornslip/common';
import type { Store, StoreError, StoreEvent, StoreRevision } from '@buckthornslip/platform';
import { Observable } from 'rxjs';

import type { StoreFailure, StoreFailures } from './createStoreFailures';

/** Dependencies of a host's store. */
interface HostStoreOptions {
  readonly clock: Clock;
  readonly store: Store;
  readonly host: string;
  readonly failures: StoreFailures;
}

/** Time after which a call without an answer fails, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 1_000;

/** Longest time for which a poll waits for a change, in milliseconds. */
const POLL_MILLISECONDS = 2_500;

/** Time after the longest wait after which a poll without an answer fails, in milliseconds. */
const POLL_MARGIN_MILLISECONDS = 700;

/** Delay before a refused poll is repeated, in milliseconds. */
const RETRY_MILLISECONDS = 400;

/**
 * Creates a host's view of a store that may serve some hosts and not others. Its watches are consecutive polls. A poll that
 * begins or waits while the store fails is never answered, also if the store is back before its end.
 *
 * @param options - The clock, the store, the host and the store's failures.
 * @returns The host's store.
 */
export function createHostStore(options: HostStoreOptions): Store {
  const { clock, failures, host, store } = options;

  const answers: Readonly<Record<StoreFailure, () => Promise<Result<never, StoreError>>>> = {
    refused: () => Promise.resolve(failure({ kind: 'unavailable' })),
    silent: async () => {
      await clock.sleep(CALL_TIMEOUT_MILLISECONDS);
      return failure({ kind: 'timeout' });
    },
  };

  const run = <Value>(
    call: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> => {
    const kind = failures.get(host);
    return kind === undefined ? call() : answers[kind]();
  };

  /** @returns The first changes after a revision, none if there are none in time, or undefined if the answer is lost. */
  const poll = (
    prefix: string,
    after: number,
    waitMilliseconds: number,
  ): Promise<readonly StoreEvent[] | undefined> =>
    new Promise((resolve) => {
      const found: StoreEvent[] = [];
      const startedMilliseconds = clock.monotonicMilliseconds();
      const isLost = (): boolean => failures.hasFailedSince(host, startedMilliseconds);
      const changes = store.watch(prefix, after + 1).subscribe((event) => {
        const isChange = event.kind === 'put' || event.kind === 'removed';
        if (isChange && !isLost()) found.push(event);
        if (found.length > 0) resolve(found);
      });
      clock.setTimer(waitMilliseconds, () => {
        changes.unsubscribe();
        if (!isLost()) resolve(found);
      });
      clock.setTimer(waitMilliseconds + POLL_MARGIN_MILLISECONDS, () => resolve(undefined));
    });

  const revisionOf = (event: StoreEvent): number => {
    if (event.kind === 'put') return event.entry.revision;
    return event.kind === 'removed' ? event.revision : 0;
  };

  const watch: Store['watch'] = (prefix, fromRevision, watchOptions) =>
    new Observable<StoreEvent>((subscriber) => {
      let known = fromRevision - 1;
      let isFirst = true;
      const next = async (): Promise<void> => {
        const isRefused = failures.get(host) === 'refused';
        const share = isFirst ? (watchOptions?.firstConfirmationShare?.() ?? 1) : 1;
        const wait = share * POLL_MILLISECONDS;
        const events = isRefused ? undefined : await poll(prefix, known, wait);
        isFirst = events?.length !== 0;
        if (subscriber.closed) return;
        if (!events) {
          subscriber.next({ kind: 'disconnected' });
          if (isRefused) await clock.sleep(RETRY_MILLISECONDS);
          return;
        }
        events.forEach((event) => subscriber.next(event));
        known = Math.max(known, ...events.map(revisionOf));
        subscriber.next({ kind: 'connected', revision: known as StoreRevision, era: store.era() });
      };
      const watchUntilClosed = async (): Promise<void> => {
        while (!subscriber.closed) await next();
      };
      void watchUntilClosed();
    });

  return {
    get: (key) => run(() => store.get(key)),
    list: (prefix, listOptions) => run(() => store.list(prefix, listOptions)),
    compareAndSwap: (...input) => run(() => store.compareAndSwap(...input)),
    remove: (...input) => run(() => store.remove(...input)),
    watch,
    grantLease: (milliseconds) => run(() => store.grantLease(milliseconds)),
    keepAlive: (leaseId) => run(() => store.keepAlive(leaseId)),
    revokeLease: (leaseId) => run(() => store.revokeLease(leaseId)),
    era: store.era,
    close: () => undefined,
  };
}
