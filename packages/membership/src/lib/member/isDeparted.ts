import type { MemberRecord } from './MemberRecord';

/**
 * @param record - A record.
 * @returns Whether the node has left or was declared dead. Such a record is kept as a tombstone against older
 *   records.
 * @internal
 */
export function isDeparted(record: MemberRecord): boolean {
  return record.liveness === 'dead' || record.state === 'left';
}
