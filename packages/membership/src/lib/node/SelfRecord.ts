import type { MemberRecord } from '../member/MemberRecord';

/**
 * This node's own record, which no other part writes.
 *
 * @internal
 */
export interface SelfRecord {
  readonly current: () => MemberRecord;

  /** Changes fields under a new version. */
  readonly change: (fields: Partial<MemberRecord>) => MemberRecord;

  /**
   * Compares what another node says of this node with the own record, and raises the own version
   * above it if needed.
   *
   * @param received - Record of this host from another node.
   * @returns Whether the own record changed.
   */
  readonly refute: (received: MemberRecord) => boolean;
}
