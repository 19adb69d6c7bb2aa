/**
 * Spreads the calls that have arrived at once over several turns of the event loop. Between two turns the process reads which
 * callers have left meanwhile.
 *
 * @internal
 */
export interface TurnPacer {
  /** @returns Undefined if a call may begin now, otherwise a promise that resolves when it may. */
  readonly wait: () => Promise<void> | undefined;
}

/** Calls that begin in one turn. */
const CALLS_PER_TURN = 8;

/** Calls after which the pacer waits for the next turn to count anew; a timer for each call would cost more. */
const UNCOUNTED_CALLS = 4;

/**
 * Creates the pacer of a process.
 *
 * @param nextTurn - Calls a function after what has arrived was handled; by default, after the present poll.
 * @returns A pacer of which no call is waiting.
 * @internal
 */
export function createTurnPacer(
  nextTurn: (callback: () => void) => void = setImmediate,
): TurnPacer {
  const waiting: (() => void)[] = [];
  let begun = 0;
  let isScheduled = false;

  const release = (): void => {
    const released = waiting.splice(0, CALLS_PER_TURN);
    begun = released.length;
    isScheduled = waiting.length > 0 || begun >= UNCOUNTED_CALLS;
    if (isScheduled) nextTurn(release);
    released.forEach((begin) => begin());
  };

  /** The end of the present turn comes before the next poll. */
  const schedule = (): void => {
    if (isScheduled) return;
    isScheduled = true;
    nextTurn(() => nextTurn(release));
  };

  return {
    wait: () => {
      begun += 1;
      if (begun >= UNCOUNTED_CALLS) schedule();
      if (begun <= CALLS_PER_TURN && waiting.length === 0) return undefined;
      return new Promise((resolve) => {
        waiting.push(resolve);
      });
    },
  };
}
