import type { ServerResponse } from 'node:http';

import { refusalCatalogue } from '@buckthornslip/common';
import { headerNames } from '@buckthornslip/wire';

import type { CallPathDependencies } from './CallPathDependencies';
import { internalHeaderNames } from './internalHeaderNames';
import type { Refusal } from './Refusal';

/** Default Retry-After for temporary refusals, in milliseconds. */
const RETRY_AFTER_MILLISECONDS = 1_000;

/** Maximum time for which the rest of a refused body is read, in milliseconds. */
const DISCARD_MILLISECONDS = 1_000;

/** Maximum size of the rest of a refused body that is read, in bytes. */
const DISCARD_BYTES = 4_194_304;

function retryAfterSeconds(refusal: Refusal, status: number): string | undefined {
  const isPassing = status === 503 || status === 429;
  const milliseconds =
    refusal.retryAfterMilliseconds ?? (isPassing ? RETRY_AFTER_MILLISECONDS : undefined);
  return milliseconds === undefined
    ? undefined
    : String(Math.max(1, Math.ceil(milliseconds / 1000)));
}

/**
 * Reads and discards the rest of a body for a limited time before the connection is closed. Closing a connection with
 * unread data resets it, and the caller may see the reset before it reads the refusal.
 */
function endAfterDiscarding(response: ServerResponse): void {
  const { req: request } = response;
  let discarded = 0;
  let timer: NodeJS.Timeout | undefined;
  const finish = (): void => {
    clearTimeout(timer);
    request.pause();
    response.end();
  };
  timer = setTimeout(finish, DISCARD_MILLISECONDS);
  request.on('data', (chunk: Buffer) => {
    discarded += chunk.length;
    if (discarded > DISCARD_BYTES) finish();
  });
  request.once('end', finish).once('close', finish);
  request.resume();
}

/**
 * Sends a refusal. All refusals are sent by this function, which counts and logs each of them once.
 *
 * @param dependencies - Metrics and logger.
 * @param response - Response to write the refusal to.
 * @param refusal - The refusal.
 * @internal
 */
export function sendRefusal(
  dependencies: CallPathDependencies,
  response: ServerResponse,
  refusal: Refusal,
): void {
  const { reason, outcome } = refusal;
  dependencies.metrics.countRefusal(reason, outcome);
  dependencies.logger.log('callRefused', { reason, outcome });
  if (response.headersSent || response.destroyed) {
    response.destroy();
    return;
  }
  const { status, title } = refusalCatalogue[reason];
  const problem = { type: 'about:blank', title, status, reason, outcome, errors: refusal.errors };
  const body = Buffer.from(JSON.stringify(problem));
  const headers = [
    'Content-Type',
    'application/problem+json',
    'Content-Length',
    String(body.length),
  ];
  headers.push(headerNames.reason, reason, headerNames.outcome, outcome);
  const retryAfter = retryAfterSeconds(refusal, status);
  if (retryAfter !== undefined) headers.push('Retry-After', retryAfter);
  if (refusal.attemptNeverRuns === true) headers.push(internalHeaderNames.attemptNeverRuns, '1');
  if (refusal.load !== undefined) headers.push(headerNames.load, refusal.load);
  const isHeadInvalid = reason === 'header-invalid';
  const isBodyUnread = !response.req.complete && !isHeadInvalid;
  // After an ambiguous head, the rest of the connection cannot be trusted either.
  if (isBodyUnread || isHeadInvalid) response.shouldKeepAlive = false;
  response.writeHead(status, headers);
  if (!isBodyUnread) {
    response.end(body);
    return;
  }
  response.write(body);
  endAfterDiscarding(response);
}
