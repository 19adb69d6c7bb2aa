/**
 * Reason why a call was not admitted. A refused call has not run at the upstream.
 *
 * @public
 */
export type AdmissionRefusal =
  | { readonly kind: 'queue-full' }
  | { readonly kind: 'queue-timeout' }
  | { readonly kind: 'priority-cutoff' }
  | { readonly kind: 'deadline-unreachable' }
  | { readonly kind: 'upstream-draining' }
  | { readonly kind: 'caller-gone' };
