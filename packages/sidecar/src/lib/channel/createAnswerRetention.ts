import type { Clock } from '@buckthornslip/common';

import { channelTimes } from './channelTimes';

/** Memory that an answer takes beside its body, in bytes. */
const OVERHEAD_BYTES = 4_096;

interface RetainedAnswer {
  readonly bytes: number;
  readonly untilMilliseconds: number;
  readonly drop: () => void;
}

/**
 * Keeps the answers of all sessions for a while, so that the other nodes can request them after their connections were lost.
 *
 * @internal
 */
export interface AnswerRetention {
  /**
   * @param bodyBytes - Length of the answer's body.
   * @param drop - Called when the answer is no longer retained.
   */
  readonly add: (bodyBytes: number, drop: () => void) => void;
}

/**
 * Creates the retention. Answers expire when later ones are added, which needs no timer.
 *
 * @param clock - Source of time.
 * @param limitBytes - Most bytes of answers; beyond it, the oldest are dropped early.
 * @returns The retention, without answers.
 * @internal
 */
export function createAnswerRetention(
  clock: Pick<Clock, 'monotonicMilliseconds'>,
  limitBytes: number,
): AnswerRetention {
  const answers = new Set<RetainedAnswer>();
  let totalBytes = 0;
  return {
    add: (bodyBytes, drop) => {
      const now = clock.monotonicMilliseconds();
      const bytes = bodyBytes + OVERHEAD_BYTES;
      answers.add({ bytes, drop, untilMilliseconds: now + channelTimes.answerRetention });
      totalBytes += bytes;
      for (const answer of answers) {
        if (answer.untilMilliseconds >= now && totalBytes <= limitBytes) break;
        answers.delete(answer);
        totalBytes -= answer.bytes;
        answer.drop();
      }
    },
  };
}
