import type { AccountFlow } from './AccountFlow';

/**
 * @param accountKey - Account whose calls the flow holds.
 * @param earliestTag - Initial start tag, in virtual time.
 * @returns An empty flow.
 * @internal
 */
export function createAccountFlow(accountKey: string, earliestTag: number): AccountFlow {
  let startTag = earliestTag;
  let sequence = 0;
  let isScheduled = false;
  let length = 0;
  return {
    accountKey,
    callsByDepth: new Map(),
    startTag: () => startTag,
    sequence: () => sequence,
    isScheduled: () => isScheduled,
    length: () => length,
    schedule: (earliest, nextSequence) => {
      startTag = Math.max(startTag, earliest);
      sequence = nextSequence;
      isScheduled = true;
    },
    unschedule: () => {
      isScheduled = false;
    },
    charge: () => {
      startTag += 1;
    },
    setLength: (next) => {
      length = next;
    },
  };
}
