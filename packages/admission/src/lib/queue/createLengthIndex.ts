import type { AccountFlow } from './AccountFlow';

/**
 * Index of flows by length that finds the longest flow without scanning all of them.
 *
 * @internal
 */
export interface LengthIndex {
  /** Changes a flow's length by one. */
  readonly change: (flow: AccountFlow, step: 1 | -1) => void;
  readonly longest: () => AccountFlow | undefined;
}

/**
 * @returns An empty index.
 * @internal
 */
export function createLengthIndex(): LengthIndex {
  const flowsByLength: Set<AccountFlow>[] = [];
  let longestLength = 0;

  return {
    change: (flow, step) => {
      flowsByLength[flow.length()]?.delete(flow);
      const length = flow.length() + step;
      flow.setLength(length);
      if (length > 0) {
        flowsByLength[length] ??= new Set();
        flowsByLength[length]?.add(flow);
      }
      longestLength = Math.max(longestLength, length);
      while (longestLength > 0 && !flowsByLength[longestLength]?.size) longestLength -= 1;
    },
    longest: () => {
      const [flow] = flowsByLength[longestLength] ?? [];
      return flow;
    },
  };
}
