import type { Clock } from '@buckthornslip/common';

import type { InterruptedCall } from './InterruptedCall';
import type { UpstreamStart } from './UpstreamStart';

/**
 * Calls that other nodes had sent to an earlier process of this node. Those that were sent before the start of the upstream were
 * lost with its predecessor; the others may still be running.
 *
 * @internal
 */
export interface InterruptedCalls {
  readonly add: (calls: readonly InterruptedCall[]) => void;
  /** Records the start of the upstream, without which the calls can't be judged. */
  readonly setStart: (start: UpstreamStart) => void;
}

/** Time for which calls wait for the first announcement of the upstream, in milliseconds. */
const RETENTION_MILLISECONDS = 10_000;

/** Most calls that wait. */
const MAXIMUM_CALLS = 1_024;

interface WaitingCall {
  readonly fingerprint: string;
  readonly sentMilliseconds: number;
}

/**
 * @param clock - Source of time.
 * @param onLost - Called with the fingerprints of calls that were lost with the predecessor of a start of the upstream.
 * @returns An empty list.
 * @internal
 */
export function createInterruptedCalls(
  clock: Clock,
  onLost: (fingerprints: readonly string[], start: UpstreamStart) => void,
): InterruptedCalls {
  let current: UpstreamStart | undefined;
  let waiting: readonly WaitingCall[] = [];

  const judge = (): void => {
    if (!current || waiting.length === 0) return;
    // The node and its upstream share a wall clock.
    const age = Math.max(0, clock.wallMilliseconds() - current.startedMilliseconds);
    const startedMilliseconds = clock.monotonicMilliseconds() - age;
    const lost = waiting.filter(({ sentMilliseconds }) => sentMilliseconds < startedMilliseconds);
    waiting = [];
    const fingerprints = lost.map(({ fingerprint }) => fingerprint);
    if (fingerprints.length > 0) onLost(fingerprints, current);
  };

  return {
    add: (calls) => {
      const now = clock.monotonicMilliseconds();
      const added = calls.map(({ ageMilliseconds, fingerprint }) => ({
        fingerprint,
        sentMilliseconds: now - ageMilliseconds,
      }));
      waiting = [...waiting, ...added].slice(-MAXIMUM_CALLS);
      judge();
    },
    setStart: (start) => {
      const oldest = clock.monotonicMilliseconds() - RETENTION_MILLISECONDS;
      waiting = waiting.filter(({ sentMilliseconds }) => sentMilliseconds >= oldest);
      current = start;
      judge();
    },
  };
}
