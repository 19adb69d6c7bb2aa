import type { Clock } from '@buckthornslip/common';

import type { CallAttempt } from '../serving/CallAttempt';
import { fingerprintOf } from '../serving/fingerprintOf';
import type { InterruptedCall } from '../serving/InterruptedCall';

/** A call that another node did not answer before the connection to it was lost. */
interface LostCall {
  readonly call: CallAttempt;
  /** Incarnation of the node that it was sent to. */
  readonly incarnation: number;
  readonly sentMilliseconds: number;
}

/** What is kept of a lost call; the call itself may have a large body. */
interface KeptCall extends Omit<LostCall, 'call'> {
  readonly fingerprint: string;
}

/**
 * Calls whose connection was lost, until it is known whether the other node's process has ended with them.
 *
 * @internal
 */
export interface LostCalls {
  readonly add: (lost: LostCall) => void;
  /**
   * @param incarnation - Incarnation of the process that runs now.
   * @returns The calls that were sent to an earlier process. All calls are removed.
   */
  readonly take: (incarnation: number) => readonly InterruptedCall[];
}

/** Time for which a call is kept, in milliseconds; a host is back after a few seconds. */
const RETENTION_MILLISECONDS = 10_000;

/** Most calls that are kept. */
const MAXIMUM_CALLS = 256;

/**
 * @param clock - Source of time.
 * @returns An empty list.
 * @internal
 */
export function createLostCalls(clock: Clock): LostCalls {
  let kept: readonly KeptCall[] = [];
  return {
    add: ({ call, incarnation, sentMilliseconds }) => {
      const added = { fingerprint: fingerprintOf(call), incarnation, sentMilliseconds };
      kept = [...kept, added].slice(-MAXIMUM_CALLS);
    },
    take: (incarnation) => {
      const now = clock.monotonicMilliseconds();
      const interrupted = kept.flatMap(({ fingerprint, sentMilliseconds, ...lost }) => {
        const ageMilliseconds = now - sentMilliseconds;
        const isInterrupted =
          lost.incarnation !== incarnation && ageMilliseconds < RETENTION_MILLISECONDS;
        return isInterrupted ? [{ fingerprint, ageMilliseconds }] : [];
      });
      kept = [];
      return interrupted;
    },
  };
}
