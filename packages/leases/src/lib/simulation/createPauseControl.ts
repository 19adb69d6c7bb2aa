/**
 * Pauses a simulated process and resumes it.
 *
 * @internal
 */
export interface PauseControl {
  readonly isRunning: () => boolean;
  readonly pause: () => void;
  readonly resume: () => void;
  readonly whenRunning: () => Promise<void>;
}

/**
 * @returns The control of a running process.
 * @internal
 */
export function createPauseControl(): PauseControl {
  let isRunning = true;
  let waiters: (() => void)[] = [];
  return {
    isRunning: () => isRunning,
    pause: () => {
      isRunning = false;
    },
    resume: () => {
      isRunning = true;
      const resumed = waiters;
      waiters = [];
      resumed.forEach((resolve) => resolve());
    },
    whenRunning: () =>
      isRunning
        ? Promise.resolve()
        : new Promise((resolve) => {
            waiters.push(resolve);
          }),
  };
}
