import type { AdmissionController, UpstreamCapacity } from '@buckthornslip/admission';
import { failure, success } from '@buckthornslip/common';

/** Above the rank of every priority, so that no priority is shed. */
const NO_CUTOFF_RANK = 4;

/**
 * @returns An admission controller with the announced slots as a fixed concurrency limit and a FIFO queue.
 * @internal
 */
export function createFakeAdmissionController(): AdmissionController {
  let capacity: UpstreamCapacity | undefined;
  let running = 0;
  const waiting = new Set<() => void>();
  const hasSlot = (): boolean => running < (capacity?.slots ?? 0);
  const startNext = (): void => {
    const [next] = waiting;
    if (next !== undefined && hasSlot()) next();
  };
  const createPermit = () => {
    running += 1;
    let released = false;
    return {
      queuedMilliseconds: 0,
      release: () => {
        if (released) return;
        released = true;
        running -= 1;
        startNext();
      },
    };
  };
  const waitForSlot = (signal: AbortSignal | undefined): Promise<boolean> =>
    new Promise((resolve) => {
      const start = (): void => {
        waiting.delete(start);
        resolve(true);
      };
      waiting.add(start);
      signal?.addEventListener('abort', () => {
        if (waiting.delete(start)) resolve(false);
      });
    });
  return {
    admit: async (_request, signal) => {
      if (capacity?.state === 'draining') return failure({ kind: 'upstream-draining' });
      if (!hasSlot() && !(await waitForSlot(signal))) return failure({ kind: 'caller-gone' });
      return success(createPermit());
    },
    // Always undefined, so that every call uses `admit`.
    tryAdmit: () => undefined,
    setRateLimit: () => undefined,
    setMaximumRunning: () => undefined,
    setCapacity: (announced) => {
      capacity = announced;
      startNext();
    },
    load: () => ({
      running,
      queued: waiting.size,
      limit: capacity?.slots ?? 0,
      cutoffRank: NO_CUTOFF_RANK,
    }),
  };
}
