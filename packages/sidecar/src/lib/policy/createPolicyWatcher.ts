import type { Clock, Result } from '@buckthornslip/common';
import type { CallPolicy } from '@buckthornslip/config';
import type { Store, StoreEntry, StoreEvent } from '@buckthornslip/platform';
import type { EventLogger } from '@buckthornslip/telemetry';
import type { Subscription } from 'rxjs';

import type { PolicyWatcher } from './PolicyWatcher';

/** Why a stored policy cannot be used. */
export interface PolicyError {
  readonly kind: 'policy-invalid';
  readonly message: string;
}

/** What the follower works with. */
export interface PolicyWatcherOptions {
  readonly clock: Clock;
  readonly store: Store;
  /** Key of the policy in the store. */
  readonly key: string;
  readonly decode: (bytes: Uint8Array) => Result<CallPolicy, PolicyError>;
  readonly logger: EventLogger;
  /** Called after a newer policy has come into force. */
  readonly onChange: (policy: CallPolicy) => void;
}

/** Pause before the store is read again after a failure, in milliseconds; a failed call is charged like another. */
const RETRY_MILLISECONDS = 400;

/**
 * Creates the follower of the policy: it reads the store once and then watches it. A peer may hand over a newer policy,
 * which covers a node that the store does not answer.
 *
 * @param options - Store, decoder and listener.
 * @returns The follower, not yet started.
 * @public
 */
export function createPolicyWatcher(options: PolicyWatcherOptions): PolicyWatcher {
  const { clock, decode, key, logger, onChange, store } = options;
  let policy: CallPolicy | undefined;
  let policyBytes: Uint8Array | undefined;
  let subscription: Subscription | undefined;
  let isClosed = false;

  const apply = (bytes: Uint8Array, source: string): void => {
    const decoded = decode(bytes);
    if (!decoded.ok) {
      logger.log('policyRejected', { source, error: decoded.error.message });
      return;
    }
    const next = decoded.value;
    const previous = policy?.revision;
    if (previous !== undefined && next.revision <= previous) return;
    policy = next;
    policyBytes = bytes;
    logger.log('policyInForce', { source, revision: next.revision, previous });
    onChange(next);
  };

  const applyEntry = (entry: StoreEntry): void => {
    if (entry.key === key) apply(entry.value, 'store');
  };

  let isReachable = true;
  const setReachable = (reachable: boolean): void => {
    if (reachable === isReachable) return;
    isReachable = reachable;
    logger.log(reachable ? 'policySourceRegained' : 'policySourceLost', {
      revision: policy?.revision,
    });
  };

  const handlers: {
    readonly [Kind in StoreEvent['kind']]: (event: StoreEvent & { readonly kind: Kind }) => void;
  } = {
    put: ({ entry }) => applyEntry(entry),
    relisted: ({ entries }) => entries.forEach(applyEntry),
    removed: () => undefined,
    connected: () => setReachable(true),
    disconnected: () => setReachable(false),
  };

  const readAndWatch = async (): Promise<void> => {
    while (!isClosed) {
      const read = await store.get(key);
      if (read.ok) {
        if (read.value) apply(read.value.value, 'store');
        const revision = read.value?.revision ?? 0;
        subscription = store.watch(key, revision + 1).subscribe((event) => {
          handlers[event.kind](event as never);
        });
        return;
      }
      await clock.sleep(RETRY_MILLISECONDS);
    }
  };

  return {
    current: () => policy,
    currentBytes: () => policyBytes,
    offer: apply,
    start: () => {
      void readAndWatch();
    },
    close: () => {
      isClosed = true;
      subscription?.unsubscribe();
    },
  };
}
