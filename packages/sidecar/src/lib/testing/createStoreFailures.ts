import type { Clock } from '@buckthornslip/common';

/** How a store fails for a host: by an error at once, or without any answer. */
export type StoreFailure = 'refused' | 'silent';

/** Hosts that the store does not serve. */
export interface StoreFailures {
  readonly set: (host: string, failure: StoreFailure) => void;
  /** Lets the store serve all hosts again. */
  readonly clear: () => void;
  readonly has: (host: string) => boolean;
  readonly get: (host: string) => StoreFailure | undefined;
  /** @returns Whether the store has failed for a host at any time since a moment. */
  readonly hasFailedSince: (host: string, milliseconds: number) => boolean;
}

/**
 * @param clock - Source of time.
 * @returns Failures of a store that serves all hosts.
 */
export function createStoreFailures(clock: Clock): StoreFailures {
  const current = new Map<string, StoreFailure>();
  const endedMilliseconds = new Map<string, number>();
  return {
    set: (host, failure) => {
      current.set(host, failure);
    },
    clear: () => {
      current.forEach((_failure, host) =>
        endedMilliseconds.set(host, clock.monotonicMilliseconds()),
      );
      current.clear();
    },
    has: (host) => current.has(host),
    get: (host) => current.get(host),
    hasFailedSince: (host, milliseconds) =>
      current.has(host) || (endedMilliseconds.get(host) ?? -Infinity) >= milliseconds,
  };
}
