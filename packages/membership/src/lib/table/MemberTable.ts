import type { HostId, ServiceId } from '@buckthornslip/common';
import type { Observable } from 'rxjs';

import type { Member } from '../member/Member';
import type { MemberRecord } from '../member/MemberRecord';
import type { RecordChange } from './RecordChange';

/**
 * Records of the members of one service.
 *
 * @internal
 */
export interface MemberTable {
  readonly service: ServiceId;
  /** Merges records and returns the changes. */
  readonly merge: (records: readonly MemberRecord[]) => readonly RecordChange[];
  readonly get: (host: HostId) => MemberRecord | undefined;
  readonly records: () => readonly MemberRecord[];
  /** Members of the service that have not left. */
  readonly members: () => readonly Member[];
  /** Emits the current members on subscription, and again when a visible field changes. */
  readonly changes: Observable<readonly Member[]>;
  /** Sequence number of the last change. */
  readonly sequence: () => number;
  /** Records that changed after a sequence number. */
  readonly changedSince: (sequence: number) => readonly MemberRecord[];
  /** Digest of the records of nodes that have not departed; equal digests mean equal rosters. */
  readonly digest: () => string;
  /** Removes records for which the function returns true. */
  readonly remove: (isObsolete: (record: MemberRecord, changedAt: number) => boolean) => void;
}
