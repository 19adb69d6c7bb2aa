/**
 * A request that was running when an upstream's process failed, as shared between the nodes of a service.
 *
 * @public
 */
export interface Suspect {
  readonly fingerprint: string;
  /** Number of upstream failures while the request was running. */
  readonly failures: number;
}
