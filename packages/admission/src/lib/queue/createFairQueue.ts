import { createBinaryHeap } from '@buckthornslip/common';

import type { AccountFlow } from './AccountFlow';
import { createAccountFlow } from './createAccountFlow';
import { createLengthIndex } from './createLengthIndex';
import type { FairQueue } from './FairQueue';
import { findCallByDepth } from './findCallByDepth';
import type { QueuedCall } from './QueuedCall';

/** Number of flows from which on idle ones are pruned if their start tag is not ahead of virtual time. */
const MINIMUM_PRUNE_THRESHOLD = 256;

const isEarlier = (first: AccountFlow, second: AccountFlow): boolean =>
  first.startTag() < second.startTag() ||
  (first.startTag() === second.startTag() && first.sequence() < second.sequence());

/**
 * Creates a start-time fair queue. Each account has a flow, each served call advances its flow's start tag by one, and
 * the flow with the smallest start tag is served next. An account that uses less than its share is therefore served
 * next, however many calls other accounts have queued.
 *
 * @returns An empty queue.
 * @internal
 */
export function createFairQueue(): FairQueue {
  const flows = new Map<string, AccountFlow>();
  const activeFlows = createBinaryHeap(isEarlier);
  const lengths = createLengthIndex();
  let virtualTime = 0;
  let size = 0;
  let nextSequence = 0;
  let pruneThreshold = MINIMUM_PRUNE_THRESHOLD;

  const scheduleFlow = (flow: AccountFlow): void => {
    flow.schedule(virtualTime, nextSequence);
    nextSequence += 1;
    activeFlows.push(flow);
  };

  const pruneIdleFlows = (): void => {
    if (flows.size < pruneThreshold) return;
    for (const [key, flow] of flows) {
      if (!flow.isScheduled() && flow.startTag() <= virtualTime) flows.delete(key);
    }
    pruneThreshold = 2 * flows.size + MINIMUM_PRUNE_THRESHOLD;
  };

  const flowOf = (accountKey: string): AccountFlow => {
    const known = flows.get(accountKey);
    if (known) return known;
    pruneIdleFlows();
    const flow = createAccountFlow(accountKey, virtualTime);
    flows.set(accountKey, flow);
    return flow;
  };

  const nextFlow = (): AccountFlow | undefined => {
    let flow = activeFlows.peek();
    // Flows emptied by removals are discarded lazily, when they reach the top of the heap.
    while (flow && flow.length() === 0) {
      activeFlows.pop();
      flow.unschedule();
      flow = activeFlows.peek();
    }
    return flow;
  };

  const remove = (call: QueuedCall): void => {
    const flow = flows.get(call.accountKey);
    const calls = flow?.callsByDepth.get(call.depth);
    if (!flow || !calls?.delete(call)) return;
    if (calls.size === 0) flow.callsByDepth.delete(call.depth);
    lengths.change(flow, -1);
    size -= 1;
  };

  return {
    size: () => size,
    lengthOf: (accountKey) => flows.get(accountKey)?.length() ?? 0,
    add: (call) => {
      const flow = flowOf(call.accountKey);
      const calls = flow.callsByDepth.get(call.depth) ?? new Set();
      flow.callsByDepth.set(call.depth, calls.add(call));
      lengths.change(flow, 1);
      size += 1;
      if (!flow.isScheduled()) scheduleFlow(flow);
    },
    peek: () => {
      const flow = nextFlow();
      return flow && findCallByDepth(flow, 'deepest');
    },
    take: () => {
      const flow = nextFlow();
      const call = flow && findCallByDepth(flow, 'deepest');
      if (!flow || !call) return undefined;
      activeFlows.pop();
      flow.unschedule();
      remove(call);
      virtualTime = flow.startTag();
      flow.charge();
      if (flow.length() > 0) scheduleFlow(flow);
      return call;
    },
    remove,
    victim: () => {
      const flow = lengths.longest();
      return flow && findCallByDepth(flow, 'shallowest');
    },
  };
}
