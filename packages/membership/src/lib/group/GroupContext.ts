import type { MemberRecord } from '../member/MemberRecord';
import type { NodeContext } from '../node/NodeContext';
import type { MemberTable } from '../table/MemberTable';
import type { RecordSource } from './RecordSource';
import type { UpdateQueue } from './UpdateQueue';

/**
 * Dependencies that the components of one service group share.
 *
 * @internal
 */
export interface GroupContext extends NodeContext {
  readonly table: MemberTable;
  readonly queue: UpdateQueue;
  /** Merges records from other nodes, and spreads and logs the changes. */
  readonly apply: (records: readonly MemberRecord[], source: RecordSource) => void;
}
