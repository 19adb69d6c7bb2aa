import { createBinaryHeap } from '../collections/createBinaryHeap';
import type { FakeClock } from './FakeClock';
import { sleepWithTimer } from './sleepWithTimer';

/** Wall-clock time at which a fake clock starts: 2026-01-01T00:00:00Z, in milliseconds. */
const START_WALL_MILLISECONDS = 1_767_225_600_000;

interface Timer {
  readonly dueMilliseconds: number;
  readonly sequence: number;
  readonly callback: () => void;
  isCancelled: boolean;
}

/** Orders timers by due time; timers with the same due time fire in the order in which they were set. */
function isBefore(first: Timer, second: Timer): boolean {
  if (first.dueMilliseconds !== second.dueMilliseconds) {
    return first.dueMilliseconds < second.dueMilliseconds;
  }
  return first.sequence < second.sequence;
}

const settlePromises = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

/**
 * Creates a clock for tests.
 *
 * @returns A clock whose time changes only with {@link FakeClock.advance} and {@link FakeClock.stepWallClock}.
 * @public
 */
export function createFakeClock(): FakeClock {
  let nowMilliseconds = 0;
  let wallOffsetMilliseconds = START_WALL_MILLISECONDS;
  let nextSequence = 0;
  const timers = createBinaryHeap(isBefore);

  const setTimer = (milliseconds: number, callback: () => void): (() => void) => {
    const dueMilliseconds = nowMilliseconds + Math.max(0, milliseconds);
    const timer: Timer = { dueMilliseconds, sequence: nextSequence, callback, isCancelled: false };
    nextSequence += 1;
    timers.push(timer);
    return () => {
      timer.isCancelled = true;
    };
  };

  /** Removes and returns the next due timer; cancelled timers stay in the heap until they reach its top. */
  const takeDueTimer = (limitMilliseconds: number): Timer | undefined => {
    for (let next = timers.peek(); next; next = timers.peek()) {
      if (!next.isCancelled && next.dueMilliseconds > limitMilliseconds) return undefined;
      timers.pop();
      if (!next.isCancelled) return next;
    }
    return undefined;
  };

  const advance = async (milliseconds: number): Promise<void> => {
    const endMilliseconds = nowMilliseconds + milliseconds;
    await settlePromises();
    let timer = takeDueTimer(endMilliseconds);
    while (timer) {
      nowMilliseconds = Math.max(nowMilliseconds, timer.dueMilliseconds);
      timer.callback();
      await settlePromises();
      timer = takeDueTimer(endMilliseconds);
    }
    nowMilliseconds = endMilliseconds;
  };

  return {
    wallMilliseconds: () => wallOffsetMilliseconds + nowMilliseconds,
    monotonicMilliseconds: () => nowMilliseconds,
    sleep: (milliseconds, signal) => sleepWithTimer(setTimer, milliseconds, signal),
    setTimer,
    advance,
    stepWallClock: (milliseconds) => {
      wallOffsetMilliseconds += milliseconds;
    },
  };
}
