import { isSameNode, type PartitionId } from '@buckthornslip/common';

import { createPartitionState } from './createPartitionState';
import { handOver } from './handOver';
import type { LeaseContext } from './LeaseContext';
import type { PartitionState, SeenRecord } from './PartitionState';
import type { PartitionTask } from './PartitionTask';
import { planTakeover } from './planTakeover';
import { runFollowerCycle } from './runFollowerCycle';
import { runHolderCycle } from './runHolderCycle';

function ownRecord({ self }: LeaseContext, { lastSeen }: PartitionState): SeenRecord | undefined {
  const isOwn = lastSeen && isSameNode(lastSeen.record.holder, self) && !lastSeen.record.handedOver;
  return isOwn ? lastSeen : undefined;
}

/** Delay until the next cycle: the interval of the role, or less if a takeover is due earlier. */
function pauseBeforeNextCycle(context: LeaseContext, state: PartitionState): number {
  const { clock, self, durations } = context;
  const { renewalInterval, nonCandidateInterval } = durations;
  const { lastSeen } = state;
  if (!lastSeen || ownRecord(context, state)) return renewalInterval;
  const isCandidate = lastSeen.record.candidates.some((node) => isSameNode(node, self));
  const interval = isCandidate ? renewalInterval : nonCandidateInterval;
  const from = planTakeover(context, state)?.fromMilliseconds;
  const wait = (from ?? Number.POSITIVE_INFINITY) - clock.monotonicMilliseconds();
  // A takeover that is already due has just failed, and is retried after the interval.
  return wait > 0 ? Math.min(interval, wait) : renewalInterval;
}

/**
 * Creates the task that reads, renews and takes over the lease of one partition.
 *
 * @param context - Dependencies of the lease manager.
 * @param partition - The partition.
 * @internal
 */
export function createPartitionTask(context: LeaseContext, partition: PartitionId): PartitionTask {
  const { clock } = context;
  const state = createPartitionState(partition);
  let running: Promise<void> | undefined;
  let isStopping = false;
  let isWakeWanted = false;
  let sleeping = new AbortController();
  let waiters: (() => void)[] = [];

  const wake = (): void => {
    isWakeWanted = true;
    sleeping.abort();
  };

  const runCycle = async (): Promise<void> => {
    const resolvers = waiters;
    waiters = [];
    const own = ownRecord(context, state);
    if (own) await runHolderCycle(context, state, own, wake);
    else await runFollowerCycle(context, state);
    // A new holder renews immediately, to list the candidates that had to be prepared.
    if (!own && ownRecord(context, state)) isWakeWanted = true;
    resolvers.forEach((resolve) => resolve());
  };

  const run = async (): Promise<void> => {
    while (!isStopping) {
      const startMilliseconds = clock.monotonicMilliseconds();
      isWakeWanted = false;
      await runCycle();
      sleeping = new AbortController();
      const elapsed = clock.monotonicMilliseconds() - startMilliseconds;
      const pause = Math.max(
        0,
        pauseBeforeNextCycle(context, state) - (ownRecord(context, state) ? elapsed : 0),
      );
      if (!isWakeWanted && !isStopping) await clock.sleep(pause, sleeping.signal);
    }
    waiters.forEach((resolve) => resolve());
  };

  const abandon = (): void => {
    isStopping = true;
    state.update({ isClosing: true });
    wake();
  };

  return {
    state,
    start: () => {
      running ??= run();
    },
    wake,
    runCycle: () =>
      new Promise((resolve) => {
        waiters.push(resolve);
        wake();
      }),
    stop: async () => {
      if (!running) return;
      abandon();
      await running;
      await handOver(context, state);
    },
    abandon,
  };
}
