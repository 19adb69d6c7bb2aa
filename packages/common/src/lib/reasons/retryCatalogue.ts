/**
 * All reasons why a call is retried, or why a retry is denied.
 *
 * @public
 */
export const retryCatalogue = {
  'retried-not-run': 'the earlier attempt is known not to have been executed',
  'retried-repeatable': 'the earlier attempt failed and the route is repeatable',
  'resumed-attempt': 'the same attempt was requested again over a new connection',
  'denied-root-budget': 'the retry budget of the root call is used up',
  'denied-root-unreachable': 'the node of the root call did not respond',
  'denied-service-ratio': 'the retry ratio of the service is used up',
  'denied-deadline': 'too little time is left before the deadline',
  'denied-not-repeatable': 'the route is not repeatable and the call may have run',
  'denied-suspect': 'the request is suspected of crashing upstreams',
  'denied-body-consumed': 'the body was streamed and cannot be sent again',
} as const;
