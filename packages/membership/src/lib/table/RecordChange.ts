import type { MemberRecord } from '../member/MemberRecord';

/**
 * Change of one record in a table.
 *
 * @internal
 */
export interface RecordChange {
  readonly earlier: MemberRecord | undefined;
  readonly current: MemberRecord;
}
