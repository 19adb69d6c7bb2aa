import type { ServerResponse } from 'node:http';

import type { Refusal } from '@buckthornslip/calls';
import { refusalCatalogue } from '@buckthornslip/common';

import { isNotRunStatus } from '../protocol/isNotRunStatus';

const MILLISECONDS_PER_SECOND = 1_000;

/** Status of a call that may have run and has no response; statuses that mean "not run" must not be used for it. */
const FAILED_STATUS = 502;
const TIMEOUT_STATUS = 504;

/**
 * @param refusal - A refusal.
 * @returns Its status. A status that means "not run" is used only if the call certainly has not run.
 * @internal
 */
export function statusOf({ outcome, reason }: Refusal): number {
  const { status } = refusalCatalogue[reason];
  if (reason === 'deadline-exceeded') return TIMEOUT_STATUS;
  if (outcome !== 'not-run') return isNotRunStatus(status) ? FAILED_STATUS : status;
  // The call has not run and will not run, so the caller may retry even a call that must not run twice.
  return status === FAILED_STATUS ? 503 : status;
}

/**
 * Writes a refusal as the response.
 *
 * @param response - The response to write.
 * @param refusal - The refusal.
 * @param retryAfterMilliseconds - Value of Retry-After, written for statuses that mean "not run".
 * @param headers - Headers to add, as alternating names and values.
 * @returns The status that was sent.
 * @internal
 */
export function writeRefusal(
  response: ServerResponse,
  refusal: Refusal,
  retryAfterMilliseconds: number,
  headers: readonly string[],
): number {
  const status = statusOf(refusal);
  const { reason } = refusal;
  const body = Buffer.from(JSON.stringify({ reason, outcome: refusal.outcome }));
  const all = [
    'Content-Type',
    'application/problem+json',
    'Content-Length',
    String(body.length),
    'Buckthornslip-Reason',
    reason,
    ...headers,
  ];
  if (isNotRunStatus(status)) {
    all.push('Retry-After', (retryAfterMilliseconds / MILLISECONDS_PER_SECOND).toFixed(3));
  }
  response.writeHead(status, all);
  response.end(body);
  return status;
}
