import type { Clock } from '@buckthornslip/common';

/**
 * Simulated process that can pause and crash. While it is paused, its clock keeps running, but timers and messages are
 * delayed until it resumes, when it acts on stale state.
 */
export interface SimulatedProcess {
  readonly name: string;
  readonly region: string;
  readonly clock: Clock;
  readonly isRunning: () => boolean;
  readonly isCrashed: () => boolean;
  /** Runs an action in the process: after it resumes if it is paused, never if it has crashed. */
  readonly deliver: (action: () => void) => void;
  readonly pause: (milliseconds: number) => void;
  readonly crash: () => void;
}

/** Creates a running process. */
export function createProcess(clock: Clock, name: string, region: string): SimulatedProcess {
  let pauses = 0;
  let hasCrashed = false;
  let delayed: (() => void)[] = [];

  const deliver = (action: () => void): void => {
    if (hasCrashed) return;
    if (pauses > 0) delayed.push(action);
    else action();
  };

  const setTimer = (milliseconds: number, callback: () => void): (() => void) => {
    let isCancelled = false;
    const cancel = clock.setTimer(milliseconds, () =>
      deliver(() => {
        if (!isCancelled) callback();
      }),
    );
    return () => {
      isCancelled = true;
      cancel();
    };
  };

  const sleep = (milliseconds: number, signal?: AbortSignal): Promise<void> =>
    new Promise((resolve) => {
      const cancel = setTimer(milliseconds, resolve);
      const stop = (): void => {
        cancel();
        resolve();
      };
      if (signal?.aborted) stop();
      else signal?.addEventListener('abort', stop, { once: true });
    });

  const resume = (): void => {
    pauses -= 1;
    if (pauses > 0) return;
    const actions = delayed;
    delayed = [];
    actions.forEach((action) => deliver(action));
  };

  return {
    name,
    region,
    clock: { ...clock, setTimer, sleep },
    isRunning: () => pauses === 0 && !hasCrashed,
    isCrashed: () => hasCrashed,
    deliver,
    pause: (milliseconds) => {
      pauses += 1;
      clock.setTimer(milliseconds, resume);
    },
    crash: () => {
      hasCrashed = true;
    },
  };
}
