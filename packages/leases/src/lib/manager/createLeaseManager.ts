import { failure, success, type PartitionId } from '@buckthornslip/common';

import { createLocator } from '../locate/createLocator';
import { answerExtension } from '../partition/answerExtension';
import { createPartitionTask } from '../partition/createPartitionTask';
import { locateFromState } from '../partition/locateFromState';
import type { PartitionTask } from '../partition/PartitionTask';
import { removeCandidate } from '../partition/removeCandidate';
import { createLeaseContext } from './createLeaseContext';
import type { HeldLease } from './HeldLease';
import type { LeaseLocation } from './LeaseLocation';
import type { LeaseManagerOptions } from './LeaseManagerOptions';
import type { RunningLeaseManager } from './RunningLeaseManager';

/**
 * Creates the lease manager of a node.
 *
 * @param options - The node, its store, peers and members.
 * @returns A manager that takes part in no partition yet.
 * @public
 */
export function createLeaseManager(options: LeaseManagerOptions): RunningLeaseManager {
  const context = createLeaseContext(options);
  const tasks = new Map<PartitionId, PartitionTask>();

  // Promises are kept for partitions in which this node does not take part yet, too.
  const taskOf = (partition: PartitionId): PartitionTask => {
    const task = tasks.get(partition) ?? createPartitionTask(context, partition);
    tasks.set(partition, task);
    return task;
  };

  const heldLease = (partition: PartitionId): HeldLease | undefined => {
    const present = tasks.get(partition)?.state.holds.value;
    return present && present.remainingMilliseconds() > 0 ? present : undefined;
  };

  const locateHere = (partition: PartitionId): LeaseLocation | undefined => {
    const task = tasks.get(partition);
    return task && locateFromState(context, task.state);
  };

  const locator = createLocator(context, locateHere);
  return {
    participate: (partition) => taskOf(partition).start(),
    heldLease,
    heldLeaseChanges: (partition) => taskOf(partition).state.holds.asObservable(),
    locate: async (partition) => {
      const here = heldLease(partition) && locateHere(partition);
      return here ? success(here) : locator.locate(partition);
    },
    forgetLocation: locator.forget,
    removeCandidate: async (partition, candidate) => {
      const task = tasks.get(partition);
      if (!task) return failure({ kind: 'not-holder' });
      return removeCandidate(context, task, candidate);
    },
    handOverAll: async () => {
      await Promise.all([...tasks.values()].map((task) => task.stop()));
    },
    answerExtension: (request) =>
      answerExtension(context, taskOf(request.partition).state, request),
    answerLocate: locateHere,
    refresh: (partition) => tasks.get(partition)?.wake(),
    close: () => tasks.forEach((task) => task.abandon()),
  };
}
