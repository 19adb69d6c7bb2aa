import type { Clock, Result } from '@buckthornslip/common';
import { failure } from '@buckthornslip/common';
import type {
  MemoryStore,
  Store,
  StoreEra,
  StoreError,
  StoreEvent,
  StoreRevision,
} from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';
import { Observable } from 'rxjs';

import type { StoreFailure, StoreFailures } from './createStoreFailures';

/** Dependencies of a host's store. */
interface HostStoreOptions {
  readonly clock: Clock;
  readonly store: MemoryStore;
  readonly host: string;
  readonly failures: StoreFailures;
}

/** Answer to a poll: changes, and the position of the store. */
interface PollAnswer {
  readonly events: readonly StoreEvent[];
  readonly era: StoreEra;
  readonly revision: number;
}

/** Failures of a call that the store has not answered. */
const UNANSWERED: ReadonlySet<StoreError['kind']> = new Set(['unavailable', 'timeout']);

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
  /** Highest era that the store has stated to this host. */
  let seenEra = NO_STORE_ERA;

  const answers: Readonly<Record<StoreFailure, () => Promise<Result<never, StoreError>>>> = {
    refused: () => Promise.resolve(failure({ kind: 'unavailable' })),
    silent: async () => {
      await clock.sleep(CALL_TIMEOUT_MILLISECONDS);
      return failure({ kind: 'timeout' });
    },
  };

  const run = async <Value>(
    call: () => Promise<Result<Value, StoreError>>,
  ): Promise<Result<Value, StoreError>> => {
    const kind = failures.get(host);
    if (kind !== undefined) return answers[kind]();
    const result = await call();
    const isAnswered = result.ok || !UNANSWERED.has(result.error.kind);
    if (isAnswered) seenEra = store.era();
    return result;
  };

  /** Runs a call that depends on what the host knows of an era. Like a real store, the memory store does not check the era. */
  const runInEra = async <Value>(
    refusal: StoreError,
    call: () => Promise<Result<Value, StoreError>>,
    era: StoreEra = seenEra,
  ): Promise<Result<Value, StoreError>> => {
    if (era !== seenEra) return failure(refusal);
    const result = await run(call);
    return result.ok && era !== seenEra ? failure({ kind: 'unavailable' }) : result;
  };

  /** @returns The first changes after a revision, none if there are none in time, or undefined if the answer is lost. */
  const poll = (
    prefix: string,
    after: number,
    waitMilliseconds: number,
  ): Promise<PollAnswer | undefined> =>
    new Promise((resolve) => {
      const found: StoreEvent[] = [];
      const startedMilliseconds = clock.monotonicMilliseconds();
      const isLost = (): boolean => failures.hasFailedSince(host, startedMilliseconds);
      const answer = (): void =>
        resolve({ events: found, era: store.era(), revision: store.backUp().revision });
      const changes = store.watch(prefix, after + 1).subscribe((event) => {
        const isChange = event.kind === 'put' || event.kind === 'removed';
        if (isChange && !isLost()) found.push(event);
        if (found.length > 0) answer();
      });
      clock.setTimer(waitMilliseconds, () => {
        changes.unsubscribe();
        if (!isLost()) answer();
      });
      clock.setTimer(waitMilliseconds + POLL_MARGIN_MILLISECONDS, () => resolve(undefined));
    });

  const watch: Store['watch'] = (prefix, fromRevision, watchOptions) =>
    new Observable<StoreEvent>((subscriber) => {
      let known = fromRevision - 1;
      let knownEra = watchOptions?.fromEra ?? seenEra;
      let isFirst = true;
      const relist = async (): Promise<void> => {
        const listing = await run(() => store.list(prefix));
        if (subscriber.closed || !listing.ok) return;
        known = listing.value.revision;
        knownEra = listing.value.era;
        subscriber.next({ kind: 'connected', revision: listing.value.revision, era: knownEra });
        subscriber.next({ kind: 'relisted', ...listing.value });
      };
      const next = async (): Promise<void> => {
        const isRefused = failures.get(host) === 'refused';
        const share = isFirst ? (watchOptions?.firstConfirmationShare?.() ?? 1) : 1;
        const wait = share * POLL_MILLISECONDS;
        const answer = isRefused ? undefined : await poll(prefix, known, wait);
        isFirst = answer?.events.length !== 0;
        if (subscriber.closed) return;
        if (!answer) {
          subscriber.next({ kind: 'disconnected' });
          if (isRefused) await clock.sleep(RETRY_MILLISECONDS);
          return;
        }
        seenEra = answer.era;
        if (answer.era !== knownEra) {
          await relist();
          return;
        }
        answer.events.forEach((event) => subscriber.next(event));
        known = answer.revision;
        const revision = known as StoreRevision;
        subscriber.next({ kind: 'connected', revision, era: answer.era });
      };
      const watchUntilClosed = async (): Promise<void> => {
        while (!subscriber.closed) await next();
      };
      void watchUntilClosed();
    });

  const conflict: StoreError = { kind: 'conflict', current: undefined };
  const leaseNotFound: StoreError = { kind: 'lease-not-found' };
  return {
    get: (key) => run(() => store.get(key)),
    list: (prefix, listOptions) => run(() => store.list(prefix, listOptions)),
    compareAndSwap: (key, expected, value, leaseId, era) =>
      runInEra(conflict, () => store.compareAndSwap(key, expected, value, leaseId), era),
    remove: (key, expected, era) => runInEra(conflict, () => store.remove(key, expected), era),
    watch,
    grantLease: (milliseconds) => run(() => store.grantLease(milliseconds)),
    keepAlive: (leaseId, era) => runInEra(leaseNotFound, () => store.keepAlive(leaseId), era),
    revokeLease: (leaseId, era) => runInEra(leaseNotFound, () => store.revokeLease(leaseId), era),
    era: () => seenEra,
    close: () => undefined,
  };
}
