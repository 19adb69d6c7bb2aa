import type { Readable } from 'node:stream';

import { refuse } from '@buckthornslip/calls';
import type { AccountId, Outcome, RefusalReason, ServiceId } from '@buckthornslip/common';
import { refusalCatalogue } from '@buckthornslip/common';
import type { LoadReport } from '@buckthornslip/routing';
import type { channelMessages } from '@buckthornslip/wire';

import type { AttemptResult } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import { answerWindowOf } from './answerWindowOf';
import { joinHeaders, splitHeaders } from './headerText';

const NO_BYTES = Buffer.alloc(0);

/** Encoding of an unknown length or time. */
const UNKNOWN = -1;

const OUTCOMES: ReadonlySet<string> = new Set<Outcome>(['not-run', 'may-have-run', 'ran']);

/**
 * @param id - Number of the call.
 * @param call - The call.
 * @returns The message for the serving node.
 * @internal
 */
export function toCallMessage(id: number, call: CallAttempt): channelMessages.Call {
  const { body } = call;
  return {
    id,
    requestId: call.requestId,
    route: call.route,
    service: call.service,
    account: call.account ?? '',
    payer: call.chargedAccount ?? '',
    callerService: call.callerService,
    rank: call.rank,
    nested: call.isNested,
    repeatable: call.repeatable,
    repeated: call.isRepeat,
    costMilliseconds: call.costMilliseconds ?? 0,
    answerWindowBytes: call.answerWindowBytes,
    remainingMilliseconds: Math.max(0, Math.floor(call.scope.remainingMilliseconds())),
    method: call.method,
    target: call.target,
    headers: joinHeaders(call.headers),
    body: body.kind === 'whole' ? body.bytes : body.head,
    bodyFollows: body.kind === 'stream',
    bodyLength: body.kind === 'stream' ? (body.length ?? UNKNOWN) : UNKNOWN,
  };
}

/**
 * @param message - A call message.
 * @returns The call without its body and scope.
 * @internal
 */
export function fromCallMessage(
  message: channelMessages.Call,
): Omit<CallAttempt, 'body' | 'scope'> {
  return {
    requestId: message.requestId,
    route: message.route,
    service: message.service as ServiceId,
    account: message.account === '' ? undefined : (message.account as AccountId),
    chargedAccount: message.payer === '' ? undefined : (message.payer as AccountId),
    callerService: message.callerService as ServiceId,
    rank: message.rank,
    isNested: message.nested,
    repeatable: message.repeatable,
    isRepeat: message.repeated,
    costMilliseconds: message.costMilliseconds > 0 ? message.costMilliseconds : undefined,
    answerWindowBytes: answerWindowOf(message),
    method: message.method,
    target: message.target,
    headers: splitHeaders(message.headers),
  };
}

function toLoadMessage(load: LoadReport | undefined): channelMessages.Load | undefined {
  if (!load) return undefined;
  return {
    running: load.running,
    queued: load.queued,
    limit: load.limit,
    cutoffRank: load.cutoffRank,
    workMilliseconds: load.workMilliseconds ?? UNKNOWN,
    speed: load.speed ?? 0,
  };
}

function fromLoadMessage(message: channelMessages.Load | undefined): LoadReport | undefined {
  if (!message) return undefined;
  const { cutoffRank, limit, queued, running, speed, workMilliseconds } = message;
  return {
    running,
    queued,
    limit,
    cutoffRank,
    workMilliseconds: workMilliseconds < 0 ? undefined : workMilliseconds,
    speed: speed > 0 ? speed : undefined,
  };
}

/**
 * @param id - Number of the call.
 * @param result - The result of the call.
 * @returns The message for the entry node.
 * @internal
 */
export function toAnswerMessage(id: number, result: AttemptResult): channelMessages.Answer {
  const { answer } = result;
  const load = toLoadMessage(result.load);
  const shed = result.isShed ?? false;
  const serviceMilliseconds = result.serviceMilliseconds ?? 0;
  const nestedShare = result.nestedShare ?? 0;
  const nestedRefused = result.isNestedRefused ?? false;
  if (answer.kind === 'refusal') {
    return {
      id,
      refusalReason: answer.reason,
      refusalOutcome: answer.outcome,
      retryAfterMilliseconds: answer.retryAfterMilliseconds ?? UNKNOWN,
      status: 0,
      headers: '',
      body: NO_BYTES,
      bodyFollows: false,
      load,
      shed,
      serviceMilliseconds,
      nestedShare,
      nestedRefused,
    };
  }
  return {
    id,
    refusalReason: '',
    refusalOutcome: '',
    retryAfterMilliseconds: UNKNOWN,
    status: answer.status,
    headers: joinHeaders(answer.headers),
    body: answer.body,
    bodyFollows: answer.rest !== undefined,
    load,
    shed,
    serviceMilliseconds,
    nestedShare,
    nestedRefused,
  };
}

/**
 * @param message - An answer message.
 * @param rest - Stream of the rest of the body, if more parts follow.
 * @returns The result of the call.
 * @internal
 */
export function fromAnswerMessage(
  message: channelMessages.Answer,
  rest: Readable | undefined,
): AttemptResult {
  const { refusalOutcome, refusalReason, retryAfterMilliseconds } = message;
  const reports = {
    load: fromLoadMessage(message.load),
    isShed: message.shed,
    serviceMilliseconds: message.serviceMilliseconds || undefined,
    nestedShare: message.nestedShare || undefined,
    isNestedRefused: message.nestedRefused,
  };
  if (refusalReason === '') {
    return {
      answer: {
        kind: 'answer',
        status: message.status,
        headers: splitHeaders(message.headers),
        body: message.body,
        rest,
      },
      ...reports,
    };
  }
  const isKnown = refusalReason in refusalCatalogue && OUTCOMES.has(refusalOutcome);
  // A later release may use a reason that this one doesn't know.
  const refusal = isKnown
    ? refuse(refusalReason as RefusalReason, refusalOutcome as Outcome)
    : refuse('upstream-failed', 'may-have-run');
  const answer = retryAfterMilliseconds < 0 ? refusal : { ...refusal, retryAfterMilliseconds };
  return { answer, ...reports };
}
