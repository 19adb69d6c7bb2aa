import type { Clock } from '@buckthornslip/common';

import type { CallAttempt } from './CallAttempt';
import { fingerprintOf } from './fingerprintOf';
import { isSameStart } from './isSameStart';
import type { UpstreamStart } from './UpstreamStart';

/** A call that was sent to an upstream. */
export interface SentCall {
  /** Records a response, which proves that the upstream's process was running when it received this call. */
  readonly recordResponse: () => void;
  /** Records that the connection has ended without a response. */
  readonly recordLoss: () => void;
  /** Records that the call was abandoned. The upstream may still be working on it. */
  readonly recordAbandonment: () => void;
  /** Removes a call that the upstream has not received. */
  readonly withdraw: () => void;
}

/** What identifies a call that the upstream has not answered. */
export interface UnansweredCall {
  readonly requestId: string;
  readonly fingerprint: string;
}

/**
 * Calls that the upstream has not answered. If its process ends, one of them may have caused that.
 *
 * @internal
 */
export interface UnansweredCalls {
  /** Records a call that is sent to one start of the upstream. */
  readonly add: (call: CallAttempt, start: UpstreamStart) => SentCall;
  /** @returns Whether the upstream is running a call that meets a condition. */
  readonly isRunning: (condition: (call: CallAttempt) => boolean) => boolean;
  /** @returns The calls that this start of the upstream has not answered, which are removed. */
  readonly take: (start: UpstreamStart) => readonly UnansweredCall[];
}

/** Time for which a failed call is kept. A crashed upstream is back and announces itself after a few seconds, in milliseconds. */
const RETENTION_MILLISECONDS = 8_000;

/**
 * Time for which an abandoned call is kept although the upstream has answered later calls, in milliseconds. It may crash the upstream
 * while that still works on it.
 */
const LATE_CRASH_MILLISECONDS = 3_000;

/** Most failed calls that are kept. */
const MAXIMUM_FAILED_CALLS = 256;

interface Entry {
  readonly call: CallAttempt;
  readonly start: UpstreamStart;
}

/** A call that has failed. It is kept without its body, which may be large. */
interface FailedEntry extends UnansweredCall {
  readonly start: UpstreamStart;
  readonly failedMilliseconds: number;
  /** Latest time at which it can have ended the upstream. */
  readonly untilMilliseconds: number;
  /** How long after its failure it can end an upstream that has answered later calls, in milliseconds. */
  readonly lateCrashMilliseconds: number;
}

function identify(call: CallAttempt): UnansweredCall {
  return { requestId: call.requestId, fingerprint: fingerprintOf(call) };
}

/**
 * @param clock - Source of time.
 * @returns An empty list.
 * @internal
 */
export function createUnansweredCalls(clock: Clock): UnansweredCalls {
  const running = new Set<Entry>();
  let failed: readonly FailedEntry[] = [];

  const dropExpired = (): void => {
    const now = clock.monotonicMilliseconds();
    failed = failed
      .filter(({ untilMilliseconds }) => untilMilliseconds > now)
      .slice(-MAXIMUM_FAILED_CALLS);
  };

  /** Keeps a call that has failed, for a shorter time if a later response has shown that the upstream survived its failure. */
  const keep = (entry: Entry, lateCrashMilliseconds: number): void => {
    if (!running.delete(entry)) return;
    const failedMilliseconds = clock.monotonicMilliseconds();
    const untilMilliseconds = failedMilliseconds + RETENTION_MILLISECONDS;
    const { call, start } = entry;
    failed = [
      ...failed,
      {
        ...identify(call),
        start,
        failedMilliseconds,
        untilMilliseconds,
        lateCrashMilliseconds,
      },
    ];
    dropExpired();
  };

  return {
    add: (call, start) => {
      const entry = { call, start };
      const sentMilliseconds = clock.monotonicMilliseconds();
      running.add(entry);
      return {
        recordResponse: () => {
          running.delete(entry);
          if (failed.length === 0) return;
          failed = failed.map((other) => {
            const { failedMilliseconds, lateCrashMilliseconds } = other;
            const isSurvived =
              failedMilliseconds <= sentMilliseconds && isSameStart(other.start, start);
            if (!isSurvived) return other;
            return { ...other, untilMilliseconds: failedMilliseconds + lateCrashMilliseconds };
          });
          dropExpired();
        },
        recordLoss: () => keep(entry, 0),
        recordAbandonment: () => keep(entry, LATE_CRASH_MILLISECONDS),
        withdraw: () => {
          running.delete(entry);
        },
      };
    },
    isRunning: (condition) => [...running].some(({ call }) => condition(call)),
    take: (start) => {
      dropExpired();
      const isTaken = (entry: { readonly start: UpstreamStart }): boolean =>
        isSameStart(entry.start, start);
      const interrupted = [...running].filter(isTaken);
      const lost = failed.filter(isTaken);
      interrupted.forEach((entry) => running.delete(entry));
      failed = failed.filter((entry) => !isTaken(entry));
      return [...interrupted.map(({ call }) => identify(call)), ...lost];
    },
  };
}
