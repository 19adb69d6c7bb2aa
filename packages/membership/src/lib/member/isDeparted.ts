import type { MemberRecord } from './MemberRecord';

/**
 * @param record - A record.
 * @returns Whether the node has left or was declared dead, so that the record only keeps older ones out.
 * @internal
 */
export function isDeparted(record: MemberRecord): boolean {
  return record.liveness === 'dead' || record.state === 'left';
}
