import type { Clock, Result } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import type {
  Store,
  StoreEntry,
  StoreEra,
  StoreError,
  StoreEvent,
  StoreListing,
} from '@buckthornslip/platform';
import { NO_STORE_ERA } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';
import type { Subscription } from 'rxjs';

import type { DecodedPolicy } from './DecodedPolicy';
import type { PolicyFaultReporter } from './createPolicyFaultReporter';
import { compareStatements } from '../evacuation/compareStatements';
import type { EvacuationOrders } from '../evacuation/EvacuationOrders';
import type { PolicyKnowledge } from './PolicyKnowledge';
import type { PolicyWatcher } from './PolicyWatcher';

/** Why a stored policy cannot be used. */
export interface PolicyError {
  readonly kind: 'policy-invalid';
  readonly message: string;
}

/** Dependencies and settings of the policy watcher. */
export interface PolicyWatcherOptions {
  readonly clock: Clock;
  readonly store: Store;
  /** Key of the policy in the store. */
  readonly key: string;
  /** Prefix of all keys that the operator writes, among them the policy and the evacuation orders. */
  readonly prefix: string;
  /** The evacuation orders, which are read and followed together with the policy. */
  readonly evacuations: Pick<EvacuationOrders, 'statement' | 'replace' | 'apply'>;
  readonly decode: (bytes: Uint8Array) => Result<DecodedPolicy, PolicyError>;
  readonly reportFaults: PolicyFaultReporter;
  readonly logger: EventLogger;
  /** @returns Part of the usual time after which the store confirms this watcher's policy for the first time. */
  readonly firstConfirmationShare: () => number;
  /** Called after a newer policy has been applied. */
  readonly onChange: (policy: CallPolicy) => void;
}

/** A moment on both clocks. Only the wall clock runs on while the host is suspended, and only the monotonic one is never set. */
interface Instant {
  readonly monotonicMilliseconds: number;
  readonly wallMilliseconds: number;
}

const NEVER: Instant = { monotonicMilliseconds: -Infinity, wallMilliseconds: -Infinity };

function instantOf(clock: Clock, ageMilliseconds: number): Instant {
  return {
    monotonicMilliseconds: clock.monotonicMilliseconds() - ageMilliseconds,
    wallMilliseconds: clock.wallMilliseconds() - ageMilliseconds,
  };
}

/** @returns The longest time that may have passed. */
function elapsedSince(clock: Clock, instant: Instant): number {
  return Math.max(
    clock.monotonicMilliseconds() - instant.monotonicMilliseconds,
    clock.wallMilliseconds() - instant.wallMilliseconds,
  );
}

/** Delay before a failed read is retried, in milliseconds; failed calls are charged like successful ones. */
const RETRY_MILLISECONDS = 400;

/**
 * Creates the policy watcher. While it follows the store, it lists the operator's keys once and then watches their prefix from
 * the revision of the listing, so that it misses neither a policy nor the start or end of an evacuation. Other nodes may
 * provide a newer policy, which keeps a node up to date while it doesn't follow the store or can't reach it.
 *
 * @param options - Dependencies, such as the store, the decoder and the change listener.
 * @returns The watcher, which does not follow the store yet.
 * @public
 */
export function createPolicyWatcher(options: PolicyWatcherOptions): PolicyWatcher {
  const { clock, decode, evacuations, firstConfirmationShare, key, logger } = options;
  const { onChange, prefix, reportFaults, store } = options;
  let policy: CallPolicy | undefined;
  let policyBytes: Uint8Array | undefined;
  let subscription: Subscription | undefined;
  let isFollowing = false;
  let isClosed = false;
  let isRepeating = false;
  let resolveAvailable = (): void => undefined;
  const available = new Promise<void>((resolve) => {
    resolveAvailable = resolve;
  });
  /** Number of the current run of the watch; an earlier run ends itself. */
  let run = 0;
  /** The newest revision that is known, and the last time at which it was known to be the newest in the store. */
  let newest = { revision: 0, confirmed: NEVER, era: store.era() };
  /** Revision of the policy that the store has; undefined if that can't be told, or says nothing about the current one. */
  let storedRevision: number | undefined;
  /** The older revision that was logged last. */
  let loggedRevision: number | undefined;
  /** Era and revision at which the store was last seen with a policy or without one. */
  let seen: { readonly era: StoreEra; readonly revision: number } | undefined;

  const currentRevision = (): number => policy?.revision ?? 0;

  /** @returns Revision of the given policy; undefined if it is invalid. */
  const apply = (bytes: Uint8Array, source: string): number | undefined => {
    const decoded = decode(bytes);
    if (!decoded.ok) {
      logger.log('policyRejected', { source, error: decoded.error.message });
      return undefined;
    }
    const { faults, policy: next } = decoded.value;
    const previous = policy?.revision;
    if (previous !== undefined && next.revision <= previous) return next.revision;
    policy = next;
    policyBytes = bytes;
    if (next.revision > newest.revision) {
      newest = { revision: next.revision, confirmed: NEVER, era: store.era() };
    }
    logger.log('policyInForce', { source, revision: next.revision, previous });
    reportFaults(next.revision, faults);
    onChange(next);
    resolveAvailable();
    return next.revision;
  };

  const applyEntry = (entry: StoreEntry): void => {
    if (entry.key !== key) return;
    storedRevision = apply(entry.value, 'store');
    seen = { era: entry.era, revision: entry.revision };
  };

  const applyListing = ({ entries, era, revision }: StoreListing): void => {
    entries.forEach(applyEntry);
    // A store that was never restored has lost nothing: without the policy, it has been removed, and stays in force.
    if (!entries.some((entry) => entry.key === key)) {
      storedRevision = era === NO_STORE_ERA ? undefined : 0;
    }
    seen = { era, revision };
  };

  const ageMilliseconds = (): number =>
    newest.revision === currentRevision() ? elapsedSince(clock, newest.confirmed) : Infinity;

  const isOlderInStore = (): boolean => {
    if (storedRevision === undefined || storedRevision >= currentRevision()) {
      loggedRevision = undefined;
      return false;
    }
    if (storedRevision !== loggedRevision) {
      const era = store.era();
      logger.log('policyOlderInStore', {
        revision: storedRevision,
        current: currentRevision(),
        era,
      });
    }
    loggedRevision = storedRevision;
    return true;
  };

  /**
   * The store has just said which policy it has. That confirms the current one, unless the store has an older one, or has lost a newer
   * one in a restore.
   */
  const confirm = (): void => {
    const hasLostNewer = newest.revision > currentRevision() && newest.era < store.era();
    if (isOlderInStore() || hasLostNewer) return;
    newest = { revision: currentRevision(), confirmed: instantOf(clock, 0), era: store.era() };
  };

  const learn = ({ ageMilliseconds: learnedAge, revision }: PolicyKnowledge): void => {
    if (revision < newest.revision) return;
    const isOlder =
      revision === newest.revision && elapsedSince(clock, newest.confirmed) <= learnedAge;
    if (!isOlder) newest = { revision, confirmed: instantOf(clock, learnedAge), era: store.era() };
  };

  let isReachable = true;
  const setReachable = (reachable: boolean): void => {
    if (reachable === isReachable) return;
    isReachable = reachable;
    logger.log(reachable ? 'policySourceRegained' : 'policySourceLost', {
      revision: policy?.revision,
      ageMilliseconds: Math.round(ageMilliseconds()),
    });
  };

  const handlers: {
    readonly [Kind in StoreEvent['kind']]: (event: StoreEvent & { readonly kind: Kind }) => void;
  } = {
    put: (event) => {
      evacuations.apply(event);
      applyEntry(event.entry);
    },
    relisted: (listing) => {
      evacuations.replace(listing);
      applyListing(listing);
      confirm();
    },
    removed: evacuations.apply,
    connected: ({ era }) => {
      setReachable(true);
      // In a new era, the listing that follows says which policy the store has.
      if (era === seen?.era) confirm();
    },
    disconnected: () => setReachable(false),
  };

  const read = async (): Promise<Result<StoreListing, StoreError>> => {
    const before = evacuations.statement();
    const seenBefore = seen;
    const result = await store.list(prefix);
    if (isClosed || !result.ok) return result;
    // The orders come first: a node serves as soon as it has a policy.
    evacuations.replace(result.value, before);
    // A listing may arrive after a later one, or after a change. Its older policy would then count as the one in the store.
    const isLate = seen && seen !== seenBefore && compareStatements(result.value, seen) < 0;
    if (isLate) return result;
    applyListing(result.value);
    confirm();
    return result;
  };

  /** A node that knows a policy but no orders does not serve, so it repeats a failed read. */
  const readOnce = async (): Promise<void> => {
    const { ok } = await read();
    if (ok || isRepeating) return;
    isRepeating = true;
    while (!evacuations.statement() && !isFollowing && !isClosed) {
      await clock.sleep(RETRY_MILLISECONDS);
      await read();
    }
    isRepeating = false;
  };

  const readAndWatch = async (isCurrent: () => boolean): Promise<void> => {
    while (isCurrent()) {
      const result = await read();
      if (!isCurrent()) return;
      if (result.ok) {
        const { era, revision } = result.value;
        const watch = store.watch(prefix, revision + 1, { firstConfirmationShare, fromEra: era });
        subscription = watch.subscribe((event) => {
          handlers[event.kind](event as never);
        });
        return;
      }
      await clock.sleep(RETRY_MILLISECONDS);
    }
  };

  return {
    current: () => policy,
    knowledge: () => ({ revision: currentRevision(), ageMilliseconds: ageMilliseconds() }),
    whenAvailable: () => available,
    currentBytes: () => policyBytes,
    ageMilliseconds,
    learn,
    offer: (bytes, source) => {
      apply(bytes, source);
    },
    refresh: () => {
      if (!isFollowing) void readOnce();
    },
    setFollowing: (follows) => {
      isFollowing = follows;
      subscription?.unsubscribe();
      subscription = undefined;
      run += 1;
      const own = run;
      if (follows) void readAndWatch(() => !isClosed && run === own);
    },
    close: () => {
      isClosed = true;
      subscription?.unsubscribe();
    },
  };
}
