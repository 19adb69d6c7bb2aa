/**
 * Whether this node is a contact of its zone.
 *
 * @internal
 */
export interface ContactRole {
  readonly isContact: () => boolean;
  /** Whether the last call to the store failed, or there is no store. */
  readonly isStoreDown: () => boolean;
  /** Becomes a contact and writes the presence record, if the store answers. */
  readonly assume: () => Promise<void>;
  /** Reads the contacts from the store, and takes the role if the own zone has too few. */
  readonly assumeIfNeeded: () => Promise<void>;
  /** Renews the presence record, reads the others, steps down if the zone has too many. */
  readonly maintain: () => Promise<void>;
}
