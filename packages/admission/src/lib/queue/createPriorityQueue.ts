import { priorityRank } from '@buckthornslip/common';

import { createFairQueue } from './createFairQueue';
import type { PriorityQueue } from './PriorityQueue';
import type { QueuedCall } from './QueuedCall';

/**
 * Creates the admission queue of one upstream.
 *
 * @param capacity - Maximum number of queued calls.
 * @returns An empty queue.
 * @internal
 */
export function createPriorityQueue(capacity: () => number): PriorityQueue {
  const queues = Object.keys(priorityRank).map(() => createFairQueue());
  const leastImportantFirst = [...queues].reverse();
  const size = (): number => queues.reduce((sum, queue) => sum + queue.size(), 0);
  const firstNonEmptyQueue = (): (typeof queues)[number] | undefined =>
    queues.find((queue) => queue.size() > 0);
  const queueOf = (call: QueuedCall): (typeof queues)[number] =>
    queues[call.rank] as (typeof queues)[number];

  const chooseVictim = (arrival: QueuedCall): QueuedCall => {
    const victim = leastImportantFirst.find((queue) => queue.size() > 0)?.victim();
    if (!victim || victim.rank < arrival.rank) return arrival;
    if (victim.rank > arrival.rank) return victim;
    const queue = queueOf(arrival);
    const isLonger = queue.lengthOf(victim.accountKey) > queue.lengthOf(arrival.accountKey) + 1;
    return isLonger ? victim : arrival;
  };

  return {
    size,
    add: (call) => {
      const dropped = size() >= capacity() ? chooseVictim(call) : undefined;
      if (dropped === call) return call;
      if (dropped) queueOf(dropped).remove(dropped);
      queueOf(call).add(call);
      return dropped;
    },
    peek: () => firstNonEmptyQueue()?.peek(),
    take: () => firstNonEmptyQueue()?.take(),
    remove: (call) => queueOf(call).remove(call),
    clear: () => {
      const calls: QueuedCall[] = [];
      for (let call = firstNonEmptyQueue()?.take(); call; call = firstNonEmptyQueue()?.take())
        calls.push(call);
      return calls;
    },
  };
}
