/**
 * Decoded headers of an upstream's health response.
 *
 * @public
 */
export interface HealthHead {
  /** Id of the upstream that responds. */
  readonly upstream: string | undefined;
  /** Remaining cold time, in milliseconds; undefined if it states none. */
  readonly coldMilliseconds: number | undefined;
}
