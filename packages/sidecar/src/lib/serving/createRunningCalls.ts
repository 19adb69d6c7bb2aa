import type { CallAttempt } from './CallAttempt';

/** Properties that a nested call inherits from its parent call. */
export type ParentCall = Pick<CallAttempt, 'requestId' | 'rank' | 'chargedAccount' | 'isRepeat'>;

/** A running call as the parent of nested calls. */
export interface RunningParent extends ParentCall {
  /** @returns Nested calls that have completed successfully. */
  readonly finishedCalls: () => number;
  readonly countFinishedCall: () => void;
  /** Records that a nested call failed because an upstream refused it. */
  readonly recordShedCall: () => void;
  /** Records that a nested call is made. */
  readonly countNestedCall: () => void;
  /** Records that a nested call, or a call below it, was refused for lack of capacity. */
  readonly recordRefusedCall: () => void;
}

/** A call that the upstream is running. */
interface TrackedCall {
  /** Removes the call. */
  readonly end: () => void;
  /** @returns Whether a nested call failed because an upstream refused it. */
  readonly hasShedCall: () => boolean;
  /** @returns Whether the call has made a nested call. */
  readonly isParent: () => boolean;
  /** @returns Whether a nested call, or a call below it, was refused for lack of capacity. */
  readonly hasRefusedCall: () => boolean;
}

/** A call that the upstream makes while it is running other calls. */
export interface NestedCall {
  readonly route: string;
  readonly nowMilliseconds: number;
  /** Remaining time that the call states, in milliseconds. */
  readonly remainingMilliseconds: number;
}

/**
 * Calls that the local upstream is running.
 *
 * @internal
 */
export interface RunningCalls {
  /**
   * @param call - A call that is sent to the upstream.
   * @param startedMilliseconds - Monotonic time at which it is sent, in milliseconds.
   * @param deadlineMilliseconds - Deadline stated to the upstream, on the same clock.
   * @returns The tracked call.
   */
  readonly add: (
    call: ParentCall,
    startedMilliseconds: number,
    deadlineMilliseconds: number,
  ) => TrackedCall;
  /** @returns Whether the upstream runs no call, so that it can't make nested ones. */
  readonly isEmpty: () => boolean;
  /** @returns The parent of a nested call; undefined if none matches. */
  readonly findParent: (nested: NestedCall) => RunningParent | undefined;
}

/** Largest difference between the deadlines of a nested call and its parent, in milliseconds. */
const DEADLINE_TOLERANCE_MILLISECONDS = 4;

/** Largest difference between the start of a call and the parent start computed from a nested call, in milliseconds. */
const START_TOLERANCE_MILLISECONDS = 12;

interface RunningCall {
  readonly call: RunningParent & Omit<TrackedCall, 'end'>;
  readonly startedMilliseconds: number;
  readonly deadlineMilliseconds: number;
}

function createRunningParent(call: ParentCall): RunningCall['call'] {
  const { chargedAccount, isRepeat, rank, requestId } = call;
  let finished = 0;
  let hasShedCall = false;
  let isParent = false;
  let hasRefusedCall = false;
  return {
    requestId,
    rank,
    chargedAccount,
    isRepeat,
    finishedCalls: () => finished,
    countFinishedCall: () => {
      finished += 1;
    },
    recordShedCall: () => {
      hasShedCall = true;
    },
    hasShedCall: () => hasShedCall,
    countNestedCall: () => {
      isParent = true;
    },
    isParent: () => isParent,
    recordRefusedCall: () => {
      hasRefusedCall = true;
    },
    hasRefusedCall: () => hasRefusedCall,
  };
}

/**
 * Creates the list of running calls. Upstreams propagate no call id to nested calls, so parents are matched by
 * deadline: a nested call has the deadline of its parent, or the timeout of its own route counted from the start of its
 * parent.
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

  /** The largest remaining time seen on a route approximates the timeout of its nested calls. */
  const routeTimeoutOf = ({ remainingMilliseconds, route }: NestedCall): number => {
    const longest = Math.max(longestByRoute.get(route) ?? 0, remainingMilliseconds);
    longestByRoute.set(route, longest);
    return longest;
  };

  return {
    add: (call, startedMilliseconds, deadlineMilliseconds) => {
      const entry = { call: createRunningParent(call), startedMilliseconds, deadlineMilliseconds };
      running.add(entry);
      return {
        end: () => {
          running.delete(entry);
        },
        hasShedCall: entry.call.hasShedCall,
        isParent: entry.call.isParent,
        hasRefusedCall: entry.call.hasRefusedCall,
      };
    },
    isEmpty: () => running.size === 0,
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
