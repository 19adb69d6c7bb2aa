import type { Clock } from '@buckthornslip/common';

/** Outcome of a wait for a token. */
type WaitEnd = 'token' | 'timeout' | 'aborted';

interface Waiter {
  readonly end: (result: WaitEnd) => void;
}

/**
 * FIFO queue of calls that wait for a token.
 *
 * @internal
 */
export interface WaitQueue {
  readonly size: () => number;
  readonly wait: (milliseconds: number, signal?: AbortSignal) => Promise<WaitEnd>;
  /** Resolves the wait of the first call with a token. */
  readonly releaseFirst: () => void;
}

/**
 * @param clock - Source of time.
 * @returns An empty queue.
 * @internal
 */
export function createWaitQueue(clock: Clock): WaitQueue {
  const waiting = new Set<Waiter>();
  return {
    size: () => waiting.size,
    wait: (milliseconds, signal) =>
      new Promise((resolve) => {
        if (signal?.aborted) {
          resolve('aborted');
          return;
        }
        let cancelTimer: (() => void) | undefined;
        let onAbort: (() => void) | undefined;
        const waiter: Waiter = {
          end: (result) => {
            if (!waiting.delete(waiter)) return;
            cancelTimer?.();
            if (onAbort) signal?.removeEventListener('abort', onAbort);
            resolve(result);
          },
        };
        cancelTimer = clock.setTimer(milliseconds, () => waiter.end('timeout'));
        onAbort = () => waiter.end('aborted');
        waiting.add(waiter);
        signal?.addEventListener('abort', onAbort, { once: true });
      }),
    releaseFirst: () => {
      const [first] = waiting;
      first?.end('token');
    },
  };
}
