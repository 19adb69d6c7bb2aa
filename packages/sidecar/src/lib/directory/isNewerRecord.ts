import type { Member } from '@buckthornslip/membership';

/**
 * @param member - A record of a node.
 * @param known - Another record of the same node.
 * @returns Whether the first one was written later, by incarnation and version.
 * @internal
 */
export function isNewerRecord(member: Member, known: Member): boolean {
  if (member.incarnation !== known.incarnation) return member.incarnation > known.incarnation;
  return member.version > known.version;
}
