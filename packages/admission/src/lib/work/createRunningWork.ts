/** Calls for which room is reserved at first; doubled when more run. */
const INITIAL_CAPACITY = 64;

/**
 * Lower bound of the remaining cost of a running call, as a share of its expected cost and of the work done for it so
 * far. For lognormal costs with a spread of 0.8 the mean remaining cost is 0.8 to 1.1 times the mean at any age below
 * twice the mean, and grows from there. For costs that are known well it falls to zero. Half is between the two.
 */
const MINIMUM_SHARE = 0.5;

/** Largest ratio between the remaining and the expected cost of a call, so that one call can't exclude a member. */
const MAXIMUM_RATIO = 8;

/**
 * Expected remaining cost of the calls running at the upstream.
 *
 * @internal
 */
export interface RunningWork {
  /**
   * @param costMilliseconds - Expected cost of a call that starts now.
   * @returns Number of the call, for its end.
   */
  readonly start: (costMilliseconds: number) => number;
  readonly end: (call: number) => void;
  /**
   * @param speed - Speed of the upstream, which turns elapsed time into work done.
   * @returns Sum over the running calls, in milliseconds at speed 1.
   */
  readonly remainingMilliseconds: (speed: number) => number;
}

/**
 * @param now - Returns monotonic time in milliseconds.
 * @returns The work of an idle upstream.
 * @internal
 */
export function createRunningWork(now: () => number): RunningWork {
  let costs = new Float64Array(INITIAL_CAPACITY);
  let starts = new Float64Array(INITIAL_CAPACITY);
  /** Numbers of ended calls, to be used again, so that the sum runs over few unused entries. */
  const free: number[] = [];
  let used = 0;

  const grow = (): void => {
    const largerCosts = new Float64Array(costs.length * 2);
    const largerStarts = new Float64Array(costs.length * 2);
    largerCosts.set(costs);
    largerStarts.set(starts);
    costs = largerCosts;
    starts = largerStarts;
  };

  return {
    start: (cost) => {
      let call = free.pop();
      if (call === undefined) {
        call = used;
        used += 1;
        if (used > costs.length) grow();
      }
      costs[call] = cost;
      starts[call] = now();
      return call;
    },
    end: (call) => {
      costs[call] = 0;
      free.push(call);
    },
    remainingMilliseconds: (speed) => {
      const time = now();
      let sum = 0;
      for (let call = 0; call < used; call += 1) {
        const cost = costs[call]!;
        // Ended calls and calls of unknown cost count as nothing.
        if (cost > 0) {
          const done = (time - starts[call]!) * speed;
          const lowest = MINIMUM_SHARE * Math.max(cost, done);
          sum += Math.min(MAXIMUM_RATIO * cost, Math.max(cost - done, lowest));
        }
      }
      return sum;
    },
  };
}
