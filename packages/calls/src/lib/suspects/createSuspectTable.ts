import type { Clock } from '@buckthornslip/common';

import type { Suspect } from './Suspect';
import type { SuspectTable } from './SuspectTable';

/**
 * Duration of the first refusal, and time for which a suspect is kept after it is no longer refused or, if it was never
 * refused, after its failure, in milliseconds.
 */
const SUSPECT_MILLISECONDS = 60_000;

/** Number of failures from which a request is refused by default. */
const FAILURES_TO_REFUSE = 2;

/** Maximum time for which a request is refused, in milliseconds. */
const MAXIMUM_REFUSAL_MILLISECONDS = 3_600_000;

/** Maximum number of suspects in the table. */
const MAXIMUM_SUSPECTS = 1_000;

interface SuspectRecord {
  readonly failures: number;
  readonly refusedUntilMilliseconds: number;
  readonly expiresMilliseconds: number;
}

function refusalMilliseconds(failures: number, failuresToRefuse: number): number {
  if (failures < failuresToRefuse) return 0;
  // Each further failure doubles the time, so that a caller that repeats a request for hours crashes few upstreams.
  const doubled = SUSPECT_MILLISECONDS * 2 ** (failures - failuresToRefuse);
  return Math.min(MAXIMUM_REFUSAL_MILLISECONDS, doubled);
}

/**
 * Creates the suspect table of one node.
 *
 * @param clock - Source of monotonic time.
 * @param share - Sends suspects to the other nodes of the service.
 * @param failuresToRefuse - Number of failures from which a request is refused.
 * @returns An empty table.
 * @public
 */
export function createSuspectTable(
  clock: Clock,
  share: (suspects: readonly Suspect[]) => void,
  failuresToRefuse = FAILURES_TO_REFUSE,
): SuspectTable {
  const suspects = new Map<string, SuspectRecord>();
  const running = new Map<string, number>();

  const findCurrent = (fingerprint: string): SuspectRecord | undefined => {
    const record = suspects.get(fingerprint);
    if (!record) return undefined;
    if (record.expiresMilliseconds > clock.monotonicMilliseconds()) return record;
    suspects.delete(fingerprint);
    return undefined;
  };

  const store = (fingerprint: string, failures: number, remainingMilliseconds?: number): void => {
    const nowMilliseconds = clock.monotonicMilliseconds();
    const refusal =
      remainingMilliseconds === undefined
        ? refusalMilliseconds(failures, failuresToRefuse)
        : Math.max(0, remainingMilliseconds - SUSPECT_MILLISECONDS);
    const refusedUntilMilliseconds = nowMilliseconds + refusal;
    // Reinserting moves the record to the end, so that the first record of the map is the oldest.
    suspects.delete(fingerprint);
    suspects.set(fingerprint, {
      failures,
      refusedUntilMilliseconds,
      expiresMilliseconds:
        nowMilliseconds + (remainingMilliseconds ?? refusal + SUSPECT_MILLISECONDS),
    });
    const oldest = suspects.keys().next().value;
    if (suspects.size > MAXIMUM_SUSPECTS && oldest !== undefined) suspects.delete(oldest);
  };

  return {
    classify: (fingerprint) => {
      const record = findCurrent(fingerprint);
      if (!record) return 'clear';
      const isRefused = record.refusedUntilMilliseconds > clock.monotonicMilliseconds();
      return isRefused ? 'refused' : 'isolated';
    },
    isEmpty: () => suspects.size === 0,
    failuresOf: (fingerprint) => findCurrent(fingerprint)?.failures ?? 0,
    list: (minimumFailures) =>
      [...suspects.keys()].flatMap((fingerprint) => {
        const record = findCurrent(fingerprint);
        if (!record || record.failures < minimumFailures) return [];
        const { expiresMilliseconds, failures } = record;
        const remainingMilliseconds = expiresMilliseconds - clock.monotonicMilliseconds();
        return [{ fingerprint, failures, remainingMilliseconds }];
      }),
    begin: (fingerprint) => {
      running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1);
    },
    end: (fingerprint, answered) => {
      const others = (running.get(fingerprint) ?? 1) - 1;
      if (others > 0) running.set(fingerprint, others);
      else running.delete(fingerprint);
      if (answered) suspects.delete(fingerprint);
    },
    upstreamFailed: () => {
      const found = [...running.keys()].map((fingerprint) => {
        const failures = (findCurrent(fingerprint)?.failures ?? 0) + 1;
        store(fingerprint, failures);
        return { fingerprint, failures };
      });
      running.clear();
      if (found.length > 0) share(found);
    },
    merge: (shared) => {
      for (const { fingerprint, failures, remainingMilliseconds } of shared) {
        const known = findCurrent(fingerprint)?.failures ?? 0;
        if (failures > known) store(fingerprint, failures, remainingMilliseconds);
      }
    },
  };
}
