/**
 * A difference between two manifests.
 *
 * @internal
 */
export interface Difference {
  /** Path of the value, for example "accounts.jelgava.ratePerSecond". */
  readonly path: string;
  /** Undefined if the entry was added. */
  readonly before?: unknown;
  /** Undefined if the entry was removed. */
  readonly after?: unknown;
}
