import type { Clock, RandomSource } from '@buckthornslip/common';

import { sampleExponential } from '../sampleExponential';

/** Share of the mean service time that is constant; the rest is exponentially distributed. */
const FIXED_SHARE = 0.5;

/**
 * Model of an upstream with a fixed number of workers and a FIFO queue. Like most real servers, it does not abort calls
 * whose callers have timed out.
 */
export interface UpstreamModel {
  /** Runs a call; resolves when its response is complete. */
  readonly run: () => Promise<void>;
  /** Sets the factor by which service times are multiplied. */
  readonly setSlowness: (factor: number) => void;
}

/**
 * @param clock - Source of time.
 * @param random - Source of random service times.
 * @param workers - Calls that run concurrently.
 * @param serviceMilliseconds - Mean service time.
 * @returns An idle upstream.
 */
export function createUpstreamModel(
  clock: Clock,
  random: RandomSource,
  workers: number,
  serviceMilliseconds: number,
): UpstreamModel {
  const queue: (() => void)[] = [];
  let head = 0;
  let busy = 0;
  let slowness = 1;

  const serviceTime = (): number =>
    slowness *
    (serviceMilliseconds * FIXED_SHARE +
      sampleExponential(random, serviceMilliseconds * (1 - FIXED_SHARE)));

  function start(finish: () => void): void {
    busy += 1;
    clock.setTimer(serviceTime(), () => {
      busy -= 1;
      finish();
      const next = queue[head];
      if (!next) return;
      head += 1;
      start(next);
    });
  }

  return {
    run: () =>
      new Promise((resolve) => {
        if (busy < workers) start(resolve);
        else queue.push(resolve);
      }),
    setSlowness: (factor) => {
      slowness = factor;
    },
  };
}
