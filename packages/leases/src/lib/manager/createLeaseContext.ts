import { failure } from '@buckthornslip/common';

import type { LeaseContext } from '../partition/LeaseContext';
import { createIncarnationRegistry } from '../selection/createIncarnationRegistry';
import { defaultLeaseTiming } from '../timing/defaultLeaseTiming';
import { deriveLeaseDurations } from '../timing/deriveLeaseDurations';
import { withTimeout } from '../timing/withTimeout';
import type { LeaseManagerOptions } from './LeaseManagerOptions';

const TIMED_OUT = failure({ kind: 'timeout' } as const);

/**
 * @param options - Options of the lease manager.
 * @returns The context that all of its partitions share.
 * @internal
 */
export function createLeaseContext(options: LeaseManagerOptions): LeaseContext {
  const { self, clock, logger, store, peers, eligibleMembers, prepareCandidate } = options;
  const timing = options.timing ?? defaultLeaseTiming;
  const durations = deriveLeaseDurations(timing);
  const incarnations = createIncarnationRegistry(self);
  const { storeTimeout } = durations;
  return {
    self,
    clock,
    logger,
    durations,
    marginFraction: timing.marginFraction,
    peers,
    incarnations,
    prepareCandidate,
    eligible: (partition) => {
      const members = eligibleMembers(partition);
      members.forEach(incarnations.add);
      return members.filter((member) => !incarnations.isSuperseded(member));
    },
    read: async (key) => (await withTimeout(clock, storeTimeout, store.get(key))) ?? TIMED_OUT,
    write: async (...parameters) =>
      (await withTimeout(clock, storeTimeout, store.compareAndSwap(...parameters))) ?? TIMED_OUT,
  };
}
