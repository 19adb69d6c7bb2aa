/**
 * Error of a store operation. A write that failed with `unavailable` or `timeout` may have taken effect. `conflict`
 * means that the key does not have the expected revision. Any other kind means that nothing changed.
 *
 * @public
 */
export interface ConfigurationStoreError {
  readonly kind: string;
}
