/**
 * Headers between nodes that only the call path reads.
 *
 * @internal
 */
export const internalHeaderNames = {
  /** Attempt id of a call that runs at most once. */
  attempt: 'buckthornslip-attempt',
  /** Present when only the result of an attempt is wanted, without its body. */
  join: 'buckthornslip-join',
  /** Incarnation of the serving node that the attempt is bound to. */
  incarnation: 'buckthornslip-incarnation',
  /** On refusals: present when the attempt was marked as never to run. */
  attemptNeverRuns: 'buckthornslip-attempt-ended',
  /** Fingerprint for the table of suspects. */
  fingerprint: 'buckthornslip-fingerprint',
} as const;
