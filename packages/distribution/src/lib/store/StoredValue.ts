/**
 * A key and its value in the platform's store.
 *
 * @public
 */
export interface StoredValue {
  readonly key: string;
  readonly value: Uint8Array;
  /** Store revision of the last change to this key. Store revisions increase with each change. */
  readonly revision: number;
}
