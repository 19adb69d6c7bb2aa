import type { AttemptId, Clock } from '@buckthornslip/common';

import { attemptAgeMilliseconds } from './attemptAgeMilliseconds';
import type { AttemptResult } from './AttemptResult';
import type { AttemptTable } from './AttemptTable';

/** Maximum age of an attempt that may still start, in milliseconds. */
const START_WINDOW_MILLISECONDS = 8 * 60_000;

/** Tolerated clock difference between two hosts, in milliseconds. */
const CLOCK_DIFFERENCE_MILLISECONDS = 60_000;

/**
 * Retention of an ended attempt, in milliseconds. It is longer than the start window plus the clock difference, so that
 * an attempt that was removed here is too old to start.
 */
const RETENTION_MILLISECONDS = 10 * 60_000;

/** Maximum number of attempts in the table. */
const MAXIMUM_ATTEMPTS = 50_000;

/** Maximum total size of stored response bodies, in bytes. */
const MAXIMUM_STORED_BYTES = 8 * 1024 * 1024;

interface Entry {
  readonly result: Promise<AttemptResult>;
  readonly resolve: (result: AttemptResult) => void;
  ended: AttemptResult | undefined;
  endedMilliseconds: number;
}

function createEntry(): Entry {
  let resolve: (result: AttemptResult) => void = () => undefined;
  const result = new Promise<AttemptResult>((resolvePromise) => {
    resolve = resolvePromise;
  });
  return { result, resolve, ended: undefined, endedMilliseconds: 0 };
}

function storedBytes(result: AttemptResult | undefined): number {
  return result?.kind === 'answered' ? result.response.body.length : 0;
}

/**
 * Creates the attempt table of one serving node process.
 *
 * @param clock - Source of time.
 * @returns An empty table.
 * @public
 */
export function createAttemptTable(clock: Clock): AttemptTable {
  const entries = new Map<AttemptId, Entry>();
  // Ended attempts in the order in which they ended, to expire them and to drop the oldest bodies.
  const endedOrder = new Map<AttemptId, Entry>();
  let keptBytes = 0;

  const resultOf = (entry: Entry): Promise<AttemptResult> =>
    entry.ended ? Promise.resolve(entry.ended) : entry.result;

  const dropExpired = (): void => {
    const oldestKept = clock.monotonicMilliseconds() - RETENTION_MILLISECONDS;
    for (const [id, entry] of endedOrder) {
      if (entry.endedMilliseconds >= oldestKept) return;
      keptBytes -= storedBytes(entry.ended);
      endedOrder.delete(id);
      entries.delete(id);
    }
  };

  const dropOldestBodies = (): void => {
    for (const entry of endedOrder.values()) {
      if (keptBytes <= MAXIMUM_STORED_BYTES) return;
      keptBytes -= storedBytes(entry.ended);
      if (entry.ended?.kind === 'answered') entry.ended = { kind: 'ended', outcome: 'ran' };
    }
  };

  const mayStart = (attemptId: AttemptId): boolean => {
    const age = attemptAgeMilliseconds(clock, attemptId);
    if (age === undefined) return false;
    return age <= START_WINDOW_MILLISECONDS && age >= -CLOCK_DIFFERENCE_MILLISECONDS;
  };

  return {
    enter: (attemptId) => {
      dropExpired();
      const known = entries.get(attemptId);
      if (known) return { kind: 'known', result: resultOf(known) };
      if (!mayStart(attemptId)) {
        const result: AttemptResult = { kind: 'ended', outcome: 'may-have-run' };
        return { kind: 'known', result: Promise.resolve(result) };
      }
      if (entries.size >= MAXIMUM_ATTEMPTS) return { kind: 'full' };
      entries.set(attemptId, createEntry());
      return { kind: 'new' };
    },
    find: (attemptId) => {
      const entry = entries.get(attemptId);
      return entry && resultOf(entry);
    },
    finish: (attemptId, result) => {
      const entry = entries.get(attemptId);
      if (!entry || entry.ended) return;
      entry.ended = result;
      entry.endedMilliseconds = clock.monotonicMilliseconds();
      entry.resolve(result);
      endedOrder.set(attemptId, entry);
      keptBytes += storedBytes(result);
      dropOldestBodies();
    },
  };
}
