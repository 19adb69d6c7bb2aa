/**
 * Spreads the calls that have arrived at once over several turns of the event loop. Between two turns the process reads which
 * callers have left meanwhile.
 *
 * @internal
 */
export interface TurnPacer {
  /**
   * @param mayBeOld - Whether the call may have waited long before it was read.
   * @returns Undefined if the call may begin now, otherwise a promise that resolves when it may.
   */
  readonly wait: (mayBeOld?: boolean) => Promise<void> | undefined;
  /**
   * For a call that has waited for something since it began: the end of that wait may have been read together with, but before, the
   * departure of its caller.
   *
   * @returns Undefined if turns are short, otherwise a promise that resolves after the next poll.
   */
  readonly waitIfLate: () => Promise<void> | undefined;
}

/** Calls that begin in one turn. */
const CALLS_PER_TURN = 8;

/** Calls after which the pacer waits for the next turn to count anew; a timer for each call would cost more. */
const UNCOUNTED_CALLS = 4;

/**
 * Delay of timers from which all calls wait for the next poll, in milliseconds. What is read after a long turn has waited in the
 * meantime, perhaps together with the departure of its caller.
 */
const LATE_MILLISECONDS = 25;

/**
 * Creates the pacer of a process.
 *
 * @param delayMilliseconds - Last measured delay of the event loop, in milliseconds.
 * @param nextTurn - Calls a function after what has arrived was handled; by default, after the present poll.
 * @returns A pacer of which no call is waiting.
 * @internal
 */
export function createTurnPacer(
  delayMilliseconds: () => number,
  nextTurn: (callback: () => void) => void = setImmediate,
): TurnPacer {
  /** Calls that were read before the last poll. */
  const polled: (() => void)[] = [];
  /** Calls that were read in the last poll. */
  let read: (() => void)[] = [];
  let begun = 0;
  let isScheduled = false;

  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    nextTurn(endTurn);
  };

  function endTurn(): void {
    isScheduled = false;
    const released = polled.splice(0, CALLS_PER_TURN);
    polled.push(...read);
    read = [];
    begun = released.length;
    if (polled.length > 0 || begun >= UNCOUNTED_CALLS) schedule();
    released.forEach((begin) => begin());
  }

  const hasLongTurns = (): boolean => delayMilliseconds() >= LATE_MILLISECONDS;

  const waitForPoll = (): Promise<void> => {
    schedule();
    return new Promise((resolve) => {
      read.push(resolve);
    });
  };

  return {
    waitIfLate: () => (hasLongTurns() ? waitForPoll() : undefined),
    wait: (mayBeOld = false) => {
      begun += 1;
      const isLate = mayBeOld || hasLongTurns();
      if (begun >= UNCOUNTED_CALLS) schedule();
      const mayBegin = !isLate && begun <= CALLS_PER_TURN;
      if (mayBegin && polled.length + read.length === 0) return undefined;
      return waitForPoll();
    },
  };
}
