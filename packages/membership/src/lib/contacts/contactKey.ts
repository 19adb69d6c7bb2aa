import type { HostId, ZoneId } from '@buckthornslip/common';

/** Prefix of the store keys of all contacts. */
export const CONTACT_PREFIX = 'contacts/';

/**
 * @param zone - Zone of the contact.
 * @param host - Host of the contact.
 * @returns Store key of the contact's record.
 * @internal
 */
export function contactKey(zone: ZoneId, host: HostId): string {
  return `${CONTACT_PREFIX}${zone}/${host}`;
}
