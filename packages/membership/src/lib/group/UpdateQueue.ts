import type { MemberRecord } from '../member/MemberRecord';
import type { RecordSource } from './RecordSource';

/**
 * Records that still have to be piggybacked on probe messages.
 *
 * @internal
 */
export interface UpdateQueue {
  /**
   * Adds a record and replaces an older one of the same host.
   *
   * @param record - The record.
   * @param source - How this node received it.
   */
  readonly add: (record: MemberRecord, source: RecordSource) => void;
  /** Takes the records for one message, those with the most remaining messages first. */
  readonly take: () => readonly MemberRecord[];
}
