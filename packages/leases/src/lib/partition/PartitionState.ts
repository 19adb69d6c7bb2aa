import type { PartitionId } from '@buckthornslip/common';
import type { BehaviorSubject } from 'rxjs';

import type { HeldLease } from '../manager/HeldLease';
import type { LeaseRecord } from '../manager/LeaseRecord';

/**
 * The lease record as last read or written.
 *
 * @internal
 */
export interface SeenRecord {
  readonly record: LeaseRecord;
  readonly revision: number;
  /** When this revision was first seen, by the monotonic clock. */
  readonly firstSeenMilliseconds: number;
}

/**
 * A write that was sent and may or may not have taken effect.
 *
 * @internal
 */
export interface PendingWrite {
  readonly record: LeaseRecord;
  readonly sentMilliseconds: number;
  readonly startedWithoutState: boolean;
}

/**
 * The current epoch of a partition that this node holds.
 *
 * @internal
 */
export interface Tenure {
  readonly epoch: number;
  readonly startedWithoutState: boolean;
  readonly takenAtWallMilliseconds: number;
  /** End of the lease for the holder, by the monotonic clock. */
  readonly validUntilMilliseconds: number;
  /** Send time of the last renewal that the store applied. */
  readonly renewedMilliseconds: number;
}

/**
 * State of one partition in one lease manager. It is changed by the partition's task and when an extension is
 * granted.
 *
 * @internal
 */
export interface PartitionState {
  readonly partition: PartitionId;
  readonly lastSeen: SeenRecord | undefined;
  /** Time of the first read of a series that found no record. */
  readonly absentSinceMilliseconds: number | undefined;
  /** When the store last answered a read or a write of this record. */
  readonly lastAnswerMilliseconds: number | undefined;
  readonly highestEpoch: number;
  /** Extension that this node granted: it must not take over from the holder of the epoch before this time. */
  readonly grantedExtension:
    { readonly epoch: number; readonly untilMilliseconds: number } | undefined;
  /** Expected revision of a takeover that was sent and may still take effect. */
  readonly pendingTakeoverRevision: number | undefined;
  /** Renewal number of the last write that this node attempted. */
  readonly lastRenewal: number;
  /** Writes that may have taken effect, by renewal number. */
  readonly pendingWrites: Map<number, PendingWrite>;
  readonly tenure: Tenure | undefined;
  /** Whether the store failed to answer the last renewal. */
  readonly isStoreFailing: boolean;
  readonly isClosing: boolean;
  /** Candidates removed on request, with the time at which each exclusion ends. */
  readonly excluded: Map<string, number>;
  /** Nodes that have been prepared as candidates in the current epoch. */
  readonly prepared: Set<string>;
  readonly preparing: Set<string>;
  readonly heldLease: BehaviorSubject<HeldLease | undefined>;
  readonly cancelExpiryTimer: () => void;

  readonly update: (fields: Partial<Omit<PartitionState, 'update'>>) => void;
}
