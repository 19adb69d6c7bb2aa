import type { UpstreamCounters } from './UpstreamCounters';

type CounterName = 'started' | 'completed' | 'cancelled' | 'shed';

/**
 * @returns Counters of a stub upstream.
 * @internal
 */
export function createCounters(): {
  readonly count: (name: CounterName) => void;
  readonly countRun: (key: string) => void;
  readonly addRunning: (change: number) => number;
  readonly snapshot: () => UpstreamCounters;
} {
  const counts = { started: 0, completed: 0, cancelled: 0, shed: 0 };
  const runs = new Map<string, number>();
  let running = 0;
  return {
    count: (name) => {
      counts[name] += 1;
    },
    countRun: (key) => runs.set(key, (runs.get(key) ?? 0) + 1),
    addRunning: (change) => {
      running += change;
      return running;
    },
    snapshot: () => ({ ...counts, running, runs: Object.fromEntries(runs) }),
  };
}
