import type { Attempt } from './Attempt';

/** Width of a bin of the goodput time series, in milliseconds. */
const BIN_MILLISECONDS = 250;

/** Number of successive bins with restored goodput after which the upstream counts as recovered. */
const RECOVERY_BINS = 4;

/** Statistics of one run. */
export interface RunStatistics {
  readonly recordRequest: (attempt: Attempt) => void;
  readonly recordEnd: (attempt: Attempt, isServed: boolean, nowMilliseconds: number) => void;
  readonly recordRefusal: (attempt: Attempt) => void;
  /** @returns Served requests per second between two times. */
  readonly goodput: (fromMilliseconds: number, untilMilliseconds: number) => number;
  /** @returns Time from the start until a second with at least the given goodput begins, in milliseconds. */
  readonly recovery: (fromMilliseconds: number, level: number) => number | undefined;
  readonly refusalsByPriority: () => Readonly<Record<string, number>>;
  readonly failedShareByPriority: () => Readonly<Record<string, number>>;
  /** @returns The account with the smallest share of served requests. */
  readonly worstAccount: () => { readonly account: string; readonly servedShare: number };
}

function increment(counts: Map<string, number>, key: string): void {
  counts.set(key, (counts.get(key) ?? 0) + 1);
}

const rounded = (value: number): number => Math.round(value * 10_000) / 10_000;

/** @returns Statistics without any requests. */
export function createRunStatistics(): RunStatistics {
  const bins: number[] = [];
  const requested = new Map<string, number>();
  const served = new Map<string, number>();
  const refused = new Map<string, number>();
  const shareServed = (key: string): number => (served.get(key) ?? 0) / (requested.get(key) ?? 1);
  const keysOf = (prefix: string): string[] =>
    [...requested.keys()].filter((key) => key.startsWith(prefix)).sort();

  const goodput = (from: number, until: number): number => {
    const sum = bins
      .slice(from / BIN_MILLISECONDS, until / BIN_MILLISECONDS)
      .reduce((total, bin) => total + (bin ?? 0), 0);
    return (sum * 1_000) / (until - from);
  };

  const byPriority = (value: (key: string) => number): Readonly<Record<string, number>> =>
    Object.fromEntries(
      keysOf('priority:').map((key) => [key.replace('priority:', ''), rounded(value(key))]),
    );

  return {
    recordRequest: (attempt) => {
      increment(requested, `account:${attempt.account}`);
      increment(requested, `priority:${attempt.priority}`);
    },
    recordEnd: (attempt, isServed, now) => {
      if (!isServed) return;
      increment(served, `account:${attempt.account}`);
      increment(served, `priority:${attempt.priority}`);
      const bin = Math.floor(now / BIN_MILLISECONDS);
      bins[bin] = (bins[bin] ?? 0) + 1;
    },
    recordRefusal: (attempt) => increment(refused, `priority:${attempt.priority}`),
    goodput,
    recovery: (from, level) => {
      const width = RECOVERY_BINS * BIN_MILLISECONDS;
      const last = bins.length * BIN_MILLISECONDS - width;
      for (let start = from; start <= last; start += BIN_MILLISECONDS) {
        if (goodput(start, start + width) >= level) return start - from;
      }
      return undefined;
    },
    refusalsByPriority: () => byPriority((key) => refused.get(key) ?? 0),
    failedShareByPriority: () => byPriority((key) => 1 - shareServed(key)),
    worstAccount: () => {
      const [worst = ''] = keysOf('account:').sort((a, b) => shareServed(a) - shareServed(b));
      return { account: worst.replace('account:', ''), servedShare: rounded(shareServed(worst)) };
    },
  };
}
