import type { Member } from '@buckthornslip/membership';
import { channelMessages } from '@buckthornslip/wire';

import { fromMemberMessage, toMemberMessage } from './memberMessages';
import { parseMember } from './parseMember';

/** First byte of a record that an earlier release wrote as JSON. */
const JSON_START = '{'.charCodeAt(0);

/**
 * @param member - A member.
 * @returns Its record in the store.
 * @internal
 */
export function encodeRecord(member: Member): Uint8Array {
  return channelMessages.Member.encode(toMemberMessage(member)).finish();
}

/**
 * @param bytes - A record in the store.
 * @returns The member, or undefined if the record is malformed.
 * @internal
 */
export function decodeRecord(bytes: Uint8Array): Member | undefined {
  try {
    if (bytes[0] === JSON_START) return parseMember(JSON.parse(Buffer.from(bytes).toString()));
    return fromMemberMessage(channelMessages.Member.decode(bytes));
  } catch {
    return undefined;
  }
}
