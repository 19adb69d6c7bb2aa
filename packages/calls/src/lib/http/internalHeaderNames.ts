/**
 * Headers between nodes that are used only by the call path.
 *
 * @internal
 */
export const internalHeaderNames = {
  /** Attempt id of a call that must run at most once. */
  attempt: 'buckthornslip-attempt',
  /** Present when the request only asks for the result of an attempt and has no body. */
  join: 'buckthornslip-join',
  /** Incarnation of the serving node that the attempt is bound to. */
  incarnation: 'buckthornslip-incarnation',
  /** Present on refusals when the attempt was marked as never to run. */
  attemptNeverRuns: 'buckthornslip-attempt-ended',
  /** Fingerprint of the request, for the suspect table. */
  fingerprint: 'buckthornslip-fingerprint',
} as const;
