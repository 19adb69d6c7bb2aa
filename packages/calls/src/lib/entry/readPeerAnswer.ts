import type { IncomingMessage } from 'node:http';

import type { Outcome, RefusalReason } from '@buckthornslip/common';
import { refusalCatalogue } from '@buckthornslip/common';
import { headerNames } from '@buckthornslip/wire';

import type { CallAnswer } from '../http/CallAnswer';
import { forwardableHeaders } from '../http/forwardableHeaders';
import { internalHeaderNames } from '../http/internalHeaderNames';
import { refuse } from '../http/refuse';
import { singleHeader } from '../http/singleHeader';

const outcomes: ReadonlySet<string> = new Set<Outcome>(['not-run', 'may-have-run', 'ran']);

function isReason(text: string): text is RefusalReason {
  return Object.keys(refusalCatalogue).includes(text);
}

function readRefusal(response: IncomingMessage, reason: string): CallAnswer {
  const outcome = singleHeader(response, headerNames.outcome) ?? '';
  const known = outcomes.has(outcome) ? (outcome as Outcome) : 'may-have-run';
  const seconds = Number(singleHeader(response, 'retry-after'));
  const load = singleHeader(response, headerNames.load);
  response.resume();
  const attemptNeverRuns =
    singleHeader(response, internalHeaderNames.attemptNeverRuns) !== undefined;
  const base = refuse(isReason(reason) ? reason : 'upstream-failed', known);
  const refusal = { ...base, attemptNeverRuns, load };
  return seconds > 0 ? { ...refusal, retryAfterMilliseconds: seconds * 1000 } : refusal;
}

/**
 * Interprets the head of a serving node's response.
 *
 * @param response - The response.
 * @param idleTimeoutMilliseconds - Idle timeout of its body, in milliseconds.
 * @returns The upstream's response or the serving node's refusal.
 * @internal
 */
export function readPeerAnswer(
  response: IncomingMessage,
  idleTimeoutMilliseconds: number,
): CallAnswer {
  const reason = singleHeader(response, headerNames.reason);
  if (reason !== undefined) return readRefusal(response, reason);
  return {
    kind: 'response',
    status: response.statusCode as number,
    headers: forwardableHeaders(response.rawHeaders, { keepLength: true }),
    body: response,
    idleTimeoutMilliseconds,
    load: singleHeader(response, headerNames.load),
  };
}
