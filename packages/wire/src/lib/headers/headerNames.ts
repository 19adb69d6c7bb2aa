/**
 * Names of the HTTP headers that the system reads and writes, in lower case as Node.js reports them.
 *
 * @public
 */
export const headerNames = {
  authorization: 'authorization',
  idempotencyKey: 'idempotency-key',
  /** Remaining time of the call, in milliseconds. */
  timeout: 'buckthornslip-timeout',
  /** Signed call context. */
  context: 'buckthornslip-context',
  account: 'buckthornslip-account',
  outcome: 'buckthornslip-outcome',
  reason: 'buckthornslip-reason',
  load: 'buckthornslip-load',
} as const;
