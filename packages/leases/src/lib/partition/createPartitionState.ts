import type { PartitionId } from '@buckthornslip/common';
import { BehaviorSubject } from 'rxjs';

import type { PartitionState } from './PartitionState';

/**
 * @param partition - The partition.
 * @returns The initial state, before the record has been read.
 * @internal
 */
export function createPartitionState(partition: PartitionId): PartitionState {
  const state: PartitionState = {
    partition,
    lastSeen: undefined,
    absentSinceMilliseconds: undefined,
    lastAnswerMilliseconds: undefined,
    highestEpoch: 0,
    grantedExtension: undefined,
    pendingTakeoverRevision: undefined,
    lastRenewal: 0,
    pendingWrites: new Map(),
    tenure: undefined,
    isStoreFailing: false,
    isClosing: false,
    excluded: new Map(),
    prepared: new Set(),
    preparing: new Set(),
    heldLease: new BehaviorSubject<PartitionState['heldLease']['value']>(undefined),
    cancelExpiryTimer: () => undefined,
    update: (fields) => {
      Object.assign(state, fields);
    },
  };
  return state;
}
