import type { CallAttempt } from './CallAttempt';

/** What a nested call takes over from the call that it serves. */
export type ParentCall = Pick<CallAttempt, 'requestId' | 'rank' | 'chargedAccount'>;

/** A call that the upstream runs, as the calls that serve it see it. */
export interface RunningParent extends ParentCall {
  /** @returns Nested calls that have been answered for it. */
  readonly finishedCalls: () => number;
  readonly countFinishedCall: () => void;
}

/** A call that the upstream makes while it runs others. */
export interface NestedCall {
  readonly route: string;
  readonly nowMilliseconds: number;
  /** Time that the call says it has left, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/**
 * Calls that the upstream beside this node runs now.
 *
 * @internal
 */
export interface RunningCalls {
  /**
   * @param call - A call that is handed to the upstream.
   * @param startedMilliseconds - Monotonic time at which it is handed over.
   * @param deadlineMilliseconds - Deadline that the upstream is told, on the same clock.
   * @returns Ends the entry.
   */
  readonly add: (
    call: ParentCall,
    startedMilliseconds: number,
    deadlineMilliseconds: number,
  ) => () => void;
  /** @returns The call that a nested call serves; undefined if it cannot be told. */
  readonly findParent: (nested: NestedCall) => RunningParent | undefined;
}

/** Largest difference between the deadlines of a call and of the call that it serves, in milliseconds. */
const DEADLINE_TOLERANCE_MILLISECONDS = 4;

/** Largest difference between the start of a call and the start that a nested call points to, in milliseconds. */
const START_TOLERANCE_MILLISECONDS = 12;

interface RunningCall {
  readonly call: RunningParent;
  readonly startedMilliseconds: number;
  readonly deadlineMilliseconds: number;
}

function createRunningParent(call: ParentCall): RunningParent {
  const { chargedAccount, rank, requestId } = call;
  let finished = 0;
  return {
    requestId,
    rank,
    chargedAccount,
    finishedCalls: () => finished,
    countFinishedCall: () => {
      finished += 1;
    },
  };
}

/**
 * Creates the list of running calls. An upstream passes no sign of a call on to the calls that serve it but their
 * deadline: that of the call itself, or the time that calls of their kind get, counted from the start of the call.
 *
 * @returns An empty list.
 * @internal
 */
export function createRunningCalls(): RunningCalls {
  const running = new Set<RunningCall>();
  const longestByRoute = new Map<string, number>();

  const findNearest = (
    differenceOf: (entry: RunningCall) => number,
    tolerance: number,
  ): RunningParent | undefined => {
    let found: RunningCall | undefined;
    let smallest = tolerance;
    running.forEach((entry) => {
      const difference = Math.abs(differenceOf(entry));
      if (difference > smallest) return;
      smallest = difference;
      found = entry;
    });
    return found?.call;
  };

  /** The first nested call of a kind shows the whole time that its kind gets. */
  const routeTimeoutOf = ({ remainingMilliseconds, route }: NestedCall): number => {
    const longest = Math.max(longestByRoute.get(route) ?? 0, remainingMilliseconds);
    longestByRoute.set(route, longest);
    return longest;
  };

  return {
    add: (call, startedMilliseconds, deadlineMilliseconds) => {
      const entry = { call: createRunningParent(call), startedMilliseconds, deadlineMilliseconds };
      running.add(entry);
      return () => running.delete(entry);
    },
    findParent: (nested) => {
      const deadline = nested.nowMilliseconds + nested.remainingMilliseconds;
      const start = deadline - routeTimeoutOf(nested);
      return (
        findNearest(
          ({ deadlineMilliseconds }) => deadlineMilliseconds - deadline,
          DEADLINE_TOLERANCE_MILLISECONDS,
        ) ??
        findNearest(
          ({ startedMilliseconds }) => startedMilliseconds - start,
          START_TOLERANCE_MILLISECONDS,
        )
      );
    },
  };
}
