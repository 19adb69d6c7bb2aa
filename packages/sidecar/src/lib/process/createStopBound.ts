import type { Clock } from '@buckthornslip/common';

/** A call of which it is asked whether it ends before the process. */
interface BoundedCall {
  /** Name of its route. */
  readonly route: string;
  /** Time after which it ends by its timeout, in milliseconds. */
  readonly timeoutMilliseconds: number;
}

/**
 * Tells which calls end before a stopping process does.
 *
 * @internal
 */
export interface StopBound {
  /** Records the time of an answered call, until the end of its response. */
  readonly observe: (route: string, milliseconds: number) => void;
  /** @param deadline - Monotonic time at which the process closes its connections, in milliseconds. */
  readonly start: (deadline: number) => void;
  /**
   * @returns Whether a call that starts now ends before the process, by its timeout or by the usual time of its route. Always true
   *   while the process is not stopping.
   */
  readonly fits: (call: BoundedCall) => boolean;
  /** @returns The same, except that a call also may fit if no time of its route is known. */
  readonly mayFit: (call: BoundedCall) => boolean;
}

/** Time in which an answer reaches its caller before the connections are closed, in milliseconds. */
const ANSWER_MILLISECONDS = 300;

/** Factor by which a call may take longer than the slower calls of its route. */
const TIME_FACTOR = 1.5;

/** Share by which the usual time of a route approaches the time of a call that was faster. */
const DECAY_SHARE = 0.05;

/** Routes whose times are kept; those of the oldest are dropped, because policies rename and remove routes. */
const MAXIMUM_ROUTES = 1_024;

/**
 * Creates the bound of a process.
 *
 * @param clock - Source of time.
 * @returns A bound for a process that is not stopping.
 * @internal
 */
export function createStopBound(clock: Clock): StopBound {
  /** Time of the slower calls of each route, in milliseconds. */
  const usualMilliseconds = new Map<string, number>();
  let deadlineMilliseconds = Infinity;

  const endsInTime = ({ route, timeoutMilliseconds }: BoundedCall, unknown: number): boolean => {
    if (deadlineMilliseconds === Infinity) return true;
    const left = deadlineMilliseconds - clock.monotonicMilliseconds() - ANSWER_MILLISECONDS;
    const usual = usualMilliseconds.get(route) ?? unknown;
    return Math.min(timeoutMilliseconds, usual * TIME_FACTOR) <= left;
  };

  return {
    observe: (route, milliseconds) => {
      const usual = usualMilliseconds.get(route);
      const decayed = usual === undefined ? 0 : usual + (milliseconds - usual) * DECAY_SHARE;
      usualMilliseconds.set(route, Math.max(milliseconds, decayed));
      if (usualMilliseconds.size <= MAXIMUM_ROUTES) return;
      usualMilliseconds.delete(usualMilliseconds.keys().next().value as string);
    },
    start: (deadline) => {
      deadlineMilliseconds = deadline;
    },
    fits: (call) => endsInTime(call, Infinity),
    mayFit: (call) => endsInTime(call, 0),
  };
}
