/**
 * This node's role as a contact of its zone, which it may assume and give up.
 *
 * @internal
 */
export interface ContactRole {
  readonly isContact: () => boolean;
  /** Whether the last call to the store failed, or there is no store. */
  readonly isStoreDown: () => boolean;
  /** Becomes a contact and tries to write the presence record to the store. */
  readonly assume: () => Promise<void>;
  /** Reads the contacts from the store, and assumes the role if this zone has too few. */
  readonly assumeIfNeeded: () => Promise<void>;
  /** Renews the presence record, reads those of other contacts, and steps down if the zone has too many. */
  readonly maintain: () => Promise<void>;
}
