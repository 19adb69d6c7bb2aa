/**
 * The keys that have no binding but may have been used before.
 *
 * @public
 */
export interface UnknownRange {
  /** UUIDv7 keys created up to this wall-clock time are unknown, in milliseconds since the Unix epoch. */
  readonly createdUpToMilliseconds: number;
  /** Keys without a creation time are unknown until this wall-clock time, in milliseconds since the Unix epoch. */
  readonly untilMilliseconds: number;
}
