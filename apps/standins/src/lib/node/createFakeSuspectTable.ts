import type { SuspectTable } from '@buckthornslip/calls';

/** Number of failures after which a request is refused. */
const FAILURES_TO_REFUSE = 2;

/**
 * @returns A suspect table whose entries don't expire.
 * @internal
 */
export function createFakeSuspectTable(): SuspectTable {
  const running = new Map<string, number>();
  const failures = new Map<string, number>();
  return {
    classify: (fingerprint) => {
      const count = failures.get(fingerprint) ?? 0;
      if (count >= FAILURES_TO_REFUSE) return 'refused';
      return count > 0 ? 'isolated' : 'clear';
    },
    isEmpty: () => failures.size === 0,
    failuresOf: (fingerprint) => failures.get(fingerprint) ?? 0,
    list: (minimumFailures) =>
      [...failures]
        .filter(([, count]) => count >= minimumFailures)
        .map(([fingerprint, count]) => ({ fingerprint, failures: count })),
    begin: (fingerprint) => running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1),
    end: (fingerprint, answered) => {
      const left = (running.get(fingerprint) ?? 1) - 1;
      if (left > 0) running.set(fingerprint, left);
      else running.delete(fingerprint);
      if (answered) failures.delete(fingerprint);
    },
    upstreamFailed: () => {
      for (const fingerprint of running.keys()) {
        failures.set(fingerprint, (failures.get(fingerprint) ?? 0) + 1);
      }
    },
    merge: () => undefined,
  };
}
