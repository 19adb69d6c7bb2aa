/**
 * All reasons why a call is refused or fails, with the HTTP status and a title for the caller.
 * Metrics, logs, headers and the documentation use these codes.
 *
 * @public
 */
export const refusalCatalogue = {
  'key-missing': { status: 401, title: 'The route needs a client account key' },
  'key-unknown': { status: 401, title: 'The key is not known' },
  'key-withdrawn': { status: 401, title: 'The key was withdrawn' },
  'route-not-allowed': { status: 403, title: 'The account may not use this route' },
  'route-not-found': { status: 404, title: 'No route matches the request' },
  'request-invalid': { status: 400, title: 'The request is malformed' },
  'header-invalid': { status: 400, title: 'A header of the request is not valid' },
  'context-invalid': { status: 403, title: 'The call context is missing, forged or expired' },
  'idempotency-key-required': { status: 400, title: 'The route needs an Idempotency-Key header' },
  'idempotency-key-reused': { status: 422, title: 'The key was used for another request' },
  'outcome-unknown': { status: 409, title: 'The outcome of an earlier attempt is not known' },
  'home-unavailable': { status: 503, title: 'The record of this key cannot be reached' },
  'body-too-large': { status: 413, title: 'The body is larger than the route allows' },
  'request-timeout': { status: 408, title: 'The request was not received in time' },
  'account-rate': { status: 429, title: 'The account is over its rate' },
  'limit-unavailable': { status: 503, title: 'The account limit cannot be checked now' },
  'configuration-missing': { status: 503, title: 'No configuration is in force yet' },
  'configuration-stale': { status: 503, title: 'Key withdrawals cannot be ruled out now' },
  'priority-cutoff': { status: 503, title: 'The service sheds calls of this priority' },
  'queue-full': { status: 503, title: 'The queue of the upstream is full' },
  'queue-timeout': { status: 503, title: 'The call waited too long in the queue' },
  'deadline-unreachable': { status: 503, title: 'The call cannot finish before its deadline' },
  'deadline-exceeded': { status: 504, title: 'The deadline has passed' },
  'no-upstream': { status: 503, title: 'No upstream of the service is available' },
  'region-not-allowed': {
    status: 503,
    title: 'No upstream of the service is in a region that may serve the request',
  },
  'upstream-draining': { status: 503, title: 'The upstream is leaving' },
  'zone-evacuated': { status: 503, title: 'The availability zone is being evacuated' },
  'upstream-shed': { status: 503, title: 'The upstream refused the call' },
  'upstream-failed': { status: 502, title: 'The upstream failed' },
  'upstream-silent': { status: 504, title: 'The upstream did not answer in time' },
  'peer-unreachable': { status: 502, title: 'The serving node cannot be reached' },
  'link-budget': { status: 503, title: 'The link between the regions has no budget left' },
  'retry-budget': { status: 503, title: 'The retry budget of the root call is used up' },
  'suspected-crash': { status: 503, title: 'The request is suspected of crashing upstreams' },
  'hop-limit': { status: 508, title: 'The call chain is too deep' },
  'node-stopping': { status: 503, title: 'The node is stopping' },
  'caller-gone': { status: 499, title: 'The caller closed the connection' },
} as const satisfies Record<string, { readonly status: number; readonly title: string }>;
