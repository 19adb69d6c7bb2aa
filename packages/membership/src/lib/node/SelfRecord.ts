import type { MemberRecord } from '../member/MemberRecord';

/**
 * This node's own record. No other component changes it.
 *
 * @internal
 */
export interface SelfRecord {
  readonly current: () => MemberRecord;

  /** Changes fields and increments the version. */
  readonly change: (fields: Partial<MemberRecord>) => MemberRecord;

  /**
   * Refutes a newer record of this node that another node sent, by raising the version of this
   * node's record above it.
   *
   * @param received - Record of this host from another node.
   * @returns Whether the record of this node was changed.
   */
  readonly refute: (received: MemberRecord) => boolean;
}
