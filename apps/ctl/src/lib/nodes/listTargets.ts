import type { ConfigurationStore } from '@buckthornslip/distribution';
import * as z from 'zod';

const CONTACTS_PREFIX = 'contacts/';

const contactSchema = z.object({
  host: z.string(),
  region: z.string(),
  zone: z.string(),
  controlAddress: z.string(),
});

/**
 * A node that ctl queries or sends a revision to.
 *
 * @internal
 */
export interface Target {
  readonly address: string;
  /** Region of a zone contact; undefined for a node given by its address, until its first response. */
  readonly region: string | undefined;
}

function parseContact(value: Uint8Array): z.infer<typeof contactSchema> | undefined {
  try {
    return contactSchema.parse(JSON.parse(Buffer.from(value).toString('utf8')));
  } catch {
    return undefined;
  }
}

/**
 * @param store - Store to read the zone contacts from, if any.
 * @param addresses - Control addresses given by the operator.
 * @returns The zone contacts and the given nodes without duplicates, and whether the store responded.
 * @internal
 */
export async function listTargets(
  store: ConfigurationStore | undefined,
  addresses: readonly string[],
): Promise<{ readonly targets: readonly Target[]; readonly isStoreAnswering: boolean }> {
  const listed = await store?.list(CONTACTS_PREFIX);
  const entries = listed?.ok === true ? listed.value : [];
  const contacts = entries.flatMap(({ value }) => {
    const contact = parseContact(value);
    return contact === undefined
      ? []
      : [{ address: contact.controlAddress, region: contact.region }];
  });
  const known = new Set(contacts.map(({ address }) => address));
  const given = [...new Set(addresses)].filter((address) => !known.has(address));
  const targets = [...contacts, ...given.map((address) => ({ address, region: undefined }))];
  return { targets, isStoreAnswering: listed?.ok !== false };
}
