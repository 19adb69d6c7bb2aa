import type { Member } from './Member';
import type { MemberRecord } from './MemberRecord';

/**
 * @param record - A record.
 * @returns The public view of the record; a suspect is alive until it is declared dead.
 * @internal
 */
export function toMember(record: MemberRecord): Member {
  const { liveness, ...fields } = record;
  return { ...fields, alive: liveness !== 'dead' };
}
