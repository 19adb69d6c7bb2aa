import type { PartitionId } from '@buckthornslip/common';
import type { BehaviorSubject } from 'rxjs';

import type { HeldLease } from '../manager/HeldLease';
import type { LeaseRecord } from '../manager/LeaseRecord';

/**
 * The record as last read or written.
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
 * A write that was sent, until it is known whether it took effect.
 *
 * @internal
 */
export interface WriteAttempt {
  readonly record: LeaseRecord;
  readonly sentMilliseconds: number;
  readonly startedWithoutState: boolean;
}

/**
 * What this node does in the present epoch of a partition that it holds.
 *
 * @internal
 */
export interface Tenure {
  readonly epoch: number;
  readonly startedWithoutState: boolean;
  readonly takenAtWallMilliseconds: number;
  /** End of the hold, by the monotonic clock. */
  readonly holdUntilMilliseconds: number;
  /** Send time of the last renewal that the store has. */
  readonly renewedMilliseconds: number;
}

/**
 * State of one partition in one lease manager. It is changed by the partition's task, and by promises.
 *
 * @internal
 */
export interface PartitionState {
  readonly partition: PartitionId;
  readonly seen: SeenRecord | undefined;
  /** Since when reads have found no record. */
  readonly absentSinceMilliseconds: number | undefined;
  /** When the store last answered a read or a write of this record. */
  readonly answeredMilliseconds: number | undefined;
  readonly highestEpoch: number;
  /** Promise not to take over from the holder of an epoch. */
  readonly promise: { readonly epoch: number; readonly untilMilliseconds: number } | undefined;
  /** Revision on which a takeover was sent that may still take effect. */
  readonly takeoverOnRevision: number | undefined;
  /** Number of the last write tried by this node. */
  readonly lastRenewal: number;
  /** Writes that may have taken effect, by renewal number. */
  readonly attempts: Map<number, WriteAttempt>;
  readonly tenure: Tenure | undefined;
  /** Whether the last renewal was not answered. */
  readonly isStoreFailing: boolean;
  readonly isClosing: boolean;
  /** Candidates removed on request, with the end of their exclusion. */
  readonly excluded: Map<string, number>;
  /** Nodes that are prepared to be candidates in the present epoch. */
  readonly prepared: Set<string>;
  readonly preparing: Set<string>;
  readonly holds: BehaviorSubject<HeldLease | undefined>;
  readonly cancelLapseTimer: () => void;

  /** Changes fields. */
  readonly update: (fields: Partial<Omit<PartitionState, 'update'>>) => void;
}
