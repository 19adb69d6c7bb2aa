import type { Clock } from '@buckthornslip/common';

import type { Suspect } from './Suspect';
import type { SuspectTable } from './SuspectTable';

/**
 * Duration of the first refusal, and time for which a suspect is kept after it is no longer refused or, if it was never
 * refused, after its failure, in milliseconds.
 */
const SUSPECT_MILLISECONDS = 60_000;

/** Number of failures from which a request is refused. */
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

function refusalMilliseconds(failures: number): number {
  if (failures < FAILURES_TO_REFUSE) return 0;
  // Each further failure doubles the time, so that a caller that repeats a request for hours crashes few upstreams.
  const doubled = SUSPECT_MILLISECONDS * 2 ** (failures - FAILURES_TO_REFUSE);
  return Math.min(MAXIMUM_REFUSAL_MILLISECONDS, doubled);
}

/**
 * Creates the suspect table of one node.
 *
 * @param clock - Source of monotonic time.
 * @param share - Sends suspects to the other nodes of the service.
 * @returns An empty table.
 * @public
 */
export function createSuspectTable(
  clock: Clock,
  share: (suspects: readonly Suspect[]) => void,
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

  const store = (fingerprint: string, failures: number): void => {
    const nowMilliseconds = clock.monotonicMilliseconds();
    const refusedUntilMilliseconds = nowMilliseconds + refusalMilliseconds(failures);
    // Reinserting moves the record to the end, so that the first record of the map is the oldest.
    suspects.delete(fingerprint);
    suspects.set(fingerprint, {
      failures,
      refusedUntilMilliseconds,
      expiresMilliseconds: refusedUntilMilliseconds + SUSPECT_MILLISECONDS,
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
      for (const { fingerprint, failures } of shared) {
        const known = findCurrent(fingerprint)?.failures ?? 0;
        if (failures > known) store(fingerprint, failures);
      }
    },
  };
}
