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

/** Maximum number of failures that are told apart for one suspect. */
const MAXIMUM_FAILURES = 16;

interface SuspectRecord {
  readonly failureIds: ReadonlySet<string>;
  /** Failures before a complete answer to the request; other nodes may still report them. */
  readonly clearedIds: ReadonlySet<string>;
  readonly refusedUntilMilliseconds: number;
  readonly expiresMilliseconds: number;
}

const NO_IDS: ReadonlySet<string> = new Set();

function refusalMilliseconds(failures: number, failuresToRefuse: number): number {
  if (failures < failuresToRefuse) return 0;
  // Each further failure doubles the time, so that a caller that repeats a request for hours crashes few upstreams.
  const doubled = SUSPECT_MILLISECONDS * 2 ** (failures - failuresToRefuse);
  return Math.min(MAXIMUM_REFUSAL_MILLISECONDS, doubled);
}

const COUNTED_PREFIX = '#';

/** @returns The identifier of a failure that its reporter only counts. */
function countedFailureId(count: number): string {
  return `${COUNTED_PREFIX}${count}`;
}

/** @returns Whether an identifier tells a failure from all others, also from those after an answer. */
const isUnique = (failureId: string): boolean => !failureId.startsWith(COUNTED_PREFIX);

function failureIdsOf({ failureIds = [], failures }: Suspect): readonly string[] {
  if (failureIds.length > 0) return failureIds.slice(0, MAXIMUM_FAILURES);
  const length = Math.min(failures, MAXIMUM_FAILURES);
  return Array.from({ length }, (_unused, index) => countedFailureId(index + 1));
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

  /**
   * Adds failures to a suspect.
   *
   * @param remainingMilliseconds - Time for which the reporting node still keeps the suspect; absent for a new failure.
   */
  const add = (
    fingerprint: string,
    failureIds: readonly string[],
    remainingMilliseconds?: number,
  ): void => {
    const known = findCurrent(fingerprint);
    const clearedIds = known?.clearedIds ?? NO_IDS;
    const counted = failureIds.filter((id) => !clearedIds.has(id));
    const all = new Set([...(known?.failureIds ?? NO_IDS), ...counted].slice(0, MAXIMUM_FAILURES));
    if (all.size === (known?.failureIds.size ?? 0)) return;
    // Neither this node nor the other one knew all of the failures, so the time starts with their sum.
    const isNew = remainingMilliseconds === undefined || all.size > counted.length;
    const nowMilliseconds = clock.monotonicMilliseconds();
    const refusal = isNew
      ? refusalMilliseconds(all.size, failuresToRefuse)
      : Math.max(0, remainingMilliseconds - SUSPECT_MILLISECONDS);
    const kept = isNew ? refusal + SUSPECT_MILLISECONDS : remainingMilliseconds;
    // Reinserting moves the record to the end, so that the first record of the map is the oldest.
    suspects.delete(fingerprint);
    suspects.set(fingerprint, {
      failureIds: all,
      clearedIds,
      refusedUntilMilliseconds: nowMilliseconds + refusal,
      expiresMilliseconds: nowMilliseconds + kept,
    });
    const oldest = suspects.keys().next().value;
    if (suspects.size > MAXIMUM_SUSPECTS && oldest !== undefined) suspects.delete(oldest);
  };

  const nextCountedId = (fingerprint: string): string => {
    const known = findCurrent(fingerprint);
    return countedFailureId((known?.failureIds.size ?? 0) + (known?.clearedIds.size ?? 0) + 1);
  };

  const clear = (fingerprint: string, ids: Iterable<string>): void => {
    const known = findCurrent(fingerprint);
    if (!known) return;
    const cleared = new Set([...known.clearedIds, ...ids]);
    const failureIds = new Set([...known.failureIds].filter((id) => !cleared.has(id)));
    const isRefused = failureIds.size >= failuresToRefuse;
    suspects.set(fingerprint, {
      failureIds,
      clearedIds: new Set([...cleared].filter(isUnique).slice(-MAXIMUM_FAILURES)),
      refusedUntilMilliseconds: isRefused ? known.refusedUntilMilliseconds : 0,
      expiresMilliseconds: known.expiresMilliseconds,
    });
  };

  /** Clears a request that has been answered. Requests with one failure run anyway, so the other nodes need not know. */
  const recordAnswer = (fingerprint: string): void => {
    const failureIds = findCurrent(fingerprint)?.failureIds ?? NO_IDS;
    clear(fingerprint, failureIds);
    if (failureIds.size > 1) share([{ fingerprint, failures: 0, clearedIds: [...failureIds] }]);
  };

  const toSuspect = (fingerprint: string, { failureIds }: SuspectRecord): Suspect => ({
    fingerprint,
    failures: failureIds.size,
    failureIds: [...failureIds],
  });

  return {
    classify: (fingerprint) => {
      const record = findCurrent(fingerprint);
      if (!record || record.failureIds.size === 0) return 'clear';
      const isRefused = record.refusedUntilMilliseconds > clock.monotonicMilliseconds();
      return isRefused ? 'refused' : 'isolated';
    },
    isEmpty: () => suspects.size === 0,
    failuresOf: (fingerprint) => findCurrent(fingerprint)?.failureIds.size ?? 0,
    list: (minimumFailures) =>
      [...suspects.keys()].flatMap((fingerprint) => {
        const record = findCurrent(fingerprint);
        if (!record || record.failureIds.size < minimumFailures) return [];
        const remainingMilliseconds = record.expiresMilliseconds - clock.monotonicMilliseconds();
        return [{ ...toSuspect(fingerprint, record), remainingMilliseconds }];
      }),
    begin: (fingerprint) => {
      running.set(fingerprint, (running.get(fingerprint) ?? 0) + 1);
    },
    end: (fingerprint, answered) => {
      const others = (running.get(fingerprint) ?? 1) - 1;
      if (others > 0) running.set(fingerprint, others);
      else running.delete(fingerprint);
      if (answered) recordAnswer(fingerprint);
    },
    upstreamFailed: (failureId) => {
      const found = [...running.keys()].flatMap((fingerprint) => {
        add(fingerprint, [failureId ?? nextCountedId(fingerprint)]);
        const record = findCurrent(fingerprint);
        return record ? [toSuspect(fingerprint, record)] : [];
      });
      running.clear();
      if (found.length > 0) share(found);
    },
    merge: (shared) => {
      shared.forEach((suspect) => {
        const { clearedIds = [], fingerprint, remainingMilliseconds } = suspect;
        if (clearedIds.length > 0) clear(fingerprint, clearedIds);
        add(fingerprint, failureIdsOf(suspect), remainingMilliseconds);
      });
    },
  };
}
