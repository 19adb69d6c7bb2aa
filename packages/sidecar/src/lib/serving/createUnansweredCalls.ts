import type { Clock } from '@buckthornslip/common';

import type { CallAttempt } from './CallAttempt';
import { isSameStart } from './isSameStart';
import type { UpstreamStart } from './UpstreamStart';

/** A call that was sent to an upstream. */
export interface SentCall {
  /** Records a response, which proves that the upstream's process has survived all calls that had ended before this one was sent. */
  readonly recordResponse: () => void;
  /** Records that the call has ended without a response. It is kept, because its cause may still show. */
  readonly recordFailure: () => void;
  /** Removes a call that the upstream has not received. */
  readonly withdraw: () => void;
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
  readonly take: (start: UpstreamStart) => readonly CallAttempt[];
}

/** Time for which a failed call is kept. A crashed upstream is back and announces itself after a few seconds, in milliseconds. */
const RETENTION_MILLISECONDS = 8_000;

/** Most failed calls that are kept. */
const MAXIMUM_FAILED_CALLS = 256;

interface Entry {
  readonly call: CallAttempt;
  readonly start: UpstreamStart;
}

interface FailedEntry extends Entry {
  readonly failedMilliseconds: number;
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
    const oldest = clock.monotonicMilliseconds() - RETENTION_MILLISECONDS;
    failed = failed
      .filter(({ failedMilliseconds }) => failedMilliseconds >= oldest)
      .slice(-MAXIMUM_FAILED_CALLS);
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
          failed = failed.filter(
            (other) =>
              other.failedMilliseconds > sentMilliseconds || !isSameStart(other.start, start),
          );
        },
        recordFailure: () => {
          if (!running.delete(entry)) return;
          failed = [...failed, { ...entry, failedMilliseconds: clock.monotonicMilliseconds() }];
          dropExpired();
        },
        withdraw: () => {
          running.delete(entry);
        },
      };
    },
    isRunning: (condition) => [...running].some(({ call }) => condition(call)),
    take: (start) => {
      dropExpired();
      const taken = [...running, ...failed].filter((entry) => isSameStart(entry.start, start));
      taken.forEach((entry) => running.delete(entry));
      failed = failed.filter((entry) => !isSameStart(entry.start, start));
      return taken.map(({ call }) => call);
    },
  };
}
