/**
 * A call that was lost with the process of the node that it was sent to.
 *
 * @internal
 */
export interface InterruptedCall {
  readonly fingerprint: string;
  /** Time since it was sent, in milliseconds. */
  readonly ageMilliseconds: number;
}
