/**
 * Child process of the demonstration.
 */
export interface ManagedProcess {
  readonly name: string;
  /** Resolves to the address in the JSON line that the program prints when it listens. */
  readonly listening: Promise<string>;
  /** Sends SIGTERM and waits until the process exits; resolves to the exit code. */
  readonly stop: () => Promise<number | undefined>;
  readonly kill: () => void;
  /** Suspends the process with SIGSTOP until it is resumed. */
  readonly pause: () => void;
  readonly resume: () => void;
}
