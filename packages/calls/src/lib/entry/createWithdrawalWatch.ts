import type { ConfigurationSnapshot, ConfigurationView } from '@buckthornslip/distribution';

/**
 * Notifies calls in progress when their API key is withdrawn.
 *
 * @internal
 */
export interface WithdrawalWatch {
  /**
   * @param digest - Digest of the key.
   * @param onWithdrawn - Called when the key is no longer granted.
   * @returns A function that removes the callback.
   */
  readonly add: (digest: string, onWithdrawn: () => void) => () => void;
  /** Ends the configuration subscription. */
  readonly close: () => void;
}

/**
 * Creates a watch that uses a single configuration subscription for the keys of all calls in progress.
 *
 * @param configuration - Configuration view that emits each revision.
 * @returns The watch.
 * @internal
 */
export function createWithdrawalWatch(configuration: ConfigurationView): WithdrawalWatch {
  const calls = new Map<string, Set<() => void>>();
  const check = (snapshot: ConfigurationSnapshot): void => {
    for (const [digest, callbacks] of [...calls]) {
      if (snapshot.keys.get(digest)?.state !== 'granted') {
        for (const callback of [...callbacks]) callback();
      }
    }
  };
  const subscription = configuration.snapshots.subscribe(check);
  return {
    add: (digest, onWithdrawn) => {
      const callbacks = calls.get(digest) ?? new Set();
      calls.set(digest, callbacks);
      callbacks.add(onWithdrawn);
      return () => {
        callbacks.delete(onWithdrawn);
        if (callbacks.size === 0 && calls.get(digest) === callbacks) calls.delete(digest);
      };
    },
    close: () => subscription.unsubscribe(),
  };
}
