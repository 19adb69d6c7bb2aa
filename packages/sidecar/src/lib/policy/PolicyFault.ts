/** What is wrong with a field, or with a name in it. */
export type PolicyFaultKind =
  | 'regions-malformed'
  | 'region-unknown'
  | 'health-path-invalid'
  | 'slow-start-invalid'
  | 'warm-up-rate-invalid';

/**
 * A fault of a policy that does not keep the rest of it from being in force.
 *
 * @public
 */
export interface PolicyFault {
  readonly kind: PolicyFaultKind;
  /** Path of the field in the policy, or name of the route or account. */
  readonly path: string;
}
