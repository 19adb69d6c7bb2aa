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
 * @returns A manager that does not participate in any partition yet.
 * @public
 */
export function createLeaseManager(options: LeaseManagerOptions): RunningLeaseManager {
  const context = createLeaseContext(options);
  const tasks = new Map<PartitionId, PartitionTask>();

  // An extension may be granted before this node participates in the partition, and must be kept.
  const taskOf = (partition: PartitionId): PartitionTask => {
    const task = tasks.get(partition) ?? createPartitionTask(context, partition);
    tasks.set(partition, task);
    return task;
  };

  const heldLease = (partition: PartitionId): HeldLease | undefined => {
    const held = tasks.get(partition)?.state.heldLease.value;
    return held && held.remainingMilliseconds() > 0 ? held : undefined;
  };

  const locateHere = (partition: PartitionId): LeaseLocation | undefined => {
    const task = tasks.get(partition);
    return task && locateFromState(context, task.state);
  };

  const locator = createLocator(context, locateHere);
  return {
    participate: (partition) => taskOf(partition).start(),
    heldLease,
    heldLeaseChanges: (partition) => taskOf(partition).state.heldLease.asObservable(),
    locate: async (partition) => {
      const ownLocation = heldLease(partition) && locateHere(partition);
      return ownLocation ? success(ownLocation) : locator.locate(partition);
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
