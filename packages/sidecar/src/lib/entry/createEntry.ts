import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';

import type { Refusal } from '@buckthornslip/calls';
import { createCallScope, forwardableHeaders, isServerError, refuse } from '@buckthornslip/calls';
import type { AccountId, RefusalReason } from '@buckthornslip/common';
import type { PolicyRoute } from '@buckthornslip/config';

import { createBodyBudget } from '../http/createBodyBudget';
import { createPiecePacer } from '../http/createPiecePacer';
import { readRequestBody } from '../http/readRequestBody';
import { writeResponse } from '../http/writeResponse';
import { regionsInForce } from '../policy/regionsInForce';
import type { RequestHead } from '../protocol/RequestHead';
import { createAnswerWindow } from './createAnswerWindow';
import { createForwarder } from './createForwarder';
import type { AcceptedRequest } from './AcceptedRequest';
import { createRequestAcceptor } from './createRequestAcceptor';
import { createEntryThrottle } from './createEntryThrottle';
import type { EntryCall } from './EntryCall';
import type { EntryOptions } from './EntryOptions';
import type { ForwardResult } from './ForwardResult';
import { computeRetryAfter } from './computeRetryAfter';
import { isCapacityRefusal } from './isCapacityRefusal';
import { timeoutOf } from './timeoutOf';
import { writeRefusal } from './writeRefusal';

/** Handles the requests of callers and of the local upstream. */
export interface Entry {
  readonly handle: (request: IncomingMessage, response: ServerResponse) => Promise<void>;
  /** @returns Requests without a complete response. */
  readonly inProgress: () => number;
}

/** Longest body that is buffered on routes without large bodies, in bytes. */
const BUFFERED_BODY_BYTES = 65_536;

/**
 * Longest upload that is buffered, in bytes. A buffered upload can be sent to another upstream after one has refused it,
 * and a refusal does not interrupt its caller.
 */
const BUFFERED_UPLOAD_BYTES = 524_288;

/**
 * Longest time for which a request waits for the first policy after a start, in milliseconds. The store usually answers within
 * a fraction of it, and a caller that is refused comes back only once.
 */
const POLICY_WAIT_MILLISECONDS = 1_000;

/** Refusals that say nothing about the load of a service. */
const UNRELATED_TO_LOAD: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'caller-gone',
  'region-not-allowed',
  'suspected-crash',
  'zone-evacuated',
]);

function isSuccess(answer: ForwardResult['answer']): boolean {
  return answer.kind === 'answer' && !isServerError(answer.status);
}

/** The response is closed some turns of the event loop after the caller has closed its connection. */
function hasLeft({ socket }: IncomingMessage, response: ServerResponse): boolean {
  return response.destroyed || socket.destroyed || socket.readableEnded;
}

function notSent(answer: Refusal): ForwardResult {
  return { answer, attempts: 0, host: undefined };
}

/**
 * Creates the entry side of a node.
 *
 * @param options - Dependencies of the entry side.
 * @returns The entry.
 * @internal
 */
export function createEntry(options: EntryOptions): Entry {
  const {
    callerService,
    clock,
    rateLimiter,
    isStopping,
    logger,
    metrics,
    policy,
    protocol,
    random,
  } = options;
  const acceptor = createRequestAcceptor(options);
  const throttle = createEntryThrottle(options);
  const forwarder = createForwarder(options, throttle);
  const pacer = createPiecePacer(clock);
  const uploadBudget = createBodyBudget(options.uploadBytes);
  const seenConnections = new WeakSet<Socket>();
  let running = 0;
  const answerWindow = createAnswerWindow(options.answerWindowBytes, () => running);

  const logLeft = (head: RequestHead, route: string | undefined, arrivedMilliseconds: number) => {
    const milliseconds = Math.round(clock.monotonicMilliseconds() - arrivedMilliseconds);
    logger.log('callerLeft', { requestId: head.requestId, route, milliseconds });
  };

  const connectionHeaders = (): string[] => (isStopping() ? ['Connection', 'close'] : []);

  const endHeaders = (request: IncomingMessage): string[] => {
    // Reusing the connection would require reading the rest of the body first.
    if (!request.complete) return ['Connection', 'close'];
    return connectionHeaders();
  };

  const reject = (
    request: IncomingMessage,
    response: ServerResponse,
    refusal: Refusal,
    rank: number,
    spreadMilliseconds?: number,
  ): number => {
    metrics.countRefusal(refusal.reason, refusal.outcome);
    if (response.destroyed) return 0;
    const retryAfter =
      spreadMilliseconds ?? computeRetryAfter(random, rank, refusal.retryAfterMilliseconds);
    return writeRefusal(response, refusal, retryAfter, endHeaders(request));
  };

  const checkRateLimit = async (account: AccountId | undefined): Promise<Refusal | undefined> => {
    const waiting = account === undefined ? undefined : rateLimiter.acquire(account);
    const refusal = waiting && (await waiting);
    if (!refusal) return undefined;
    const { reason, retryAfterMilliseconds } = refusal;
    return { ...refuse(reason), retryAfterMilliseconds };
  };

  const forwardNested = async (
    { parent }: AcceptedRequest,
    call: EntryCall,
  ): Promise<ForwardResult> => {
    parent?.countNestedCall();
    const result = await forwarder.forward(call);
    if (isSuccess(result.answer)) parent?.countFinishedCall();
    else if (result.isShed) parent?.recordShedCall();
    else if (isCapacityRefusal(result)) parent?.recordRefusedCall();
    return result;
  };

  /** Nested calls are never throttled here: their parents have already used resources. */
  const forwardThrottled = async (
    accepted: AcceptedRequest,
    call: EntryCall,
  ): Promise<ForwardResult> => {
    if (accepted.isNested) return forwardNested(accepted, call);
    const { rank, route, scope } = call.call;
    const remainingMilliseconds = scope.remainingMilliseconds();
    const decision = throttle.start({ route, rank, remainingMilliseconds });
    if (decision.kind === 'throttled') return notSent(refuse('priority-cutoff'));
    if (decision.kind === 'no-capacity') {
      metrics.countEarlyRefusal(rank);
      const { retryAfterMilliseconds: spreadMilliseconds } = decision;
      return { ...notSent(refuse('priority-cutoff')), spreadMilliseconds };
    }
    const result = await forwarder.forward(call);
    const { answer } = result;
    const isUnrelatedToLoad = answer.kind === 'refusal' && UNRELATED_TO_LOAD.has(answer.reason);
    // If upstreams refuse calls that their nodes have admitted, throttling would not let more of the others succeed.
    const showsOverload = !isUnrelatedToLoad && !result.isShed;
    const { isNestedRefused } = result;
    if (isSuccess(answer)) decision.finish({ isSuccess: true });
    else if (showsOverload) decision.finish({ isSuccess: false, isNestedRefused });
    return result;
  };

  /** @returns Longest body that may be buffered for a request. */
  const reserveBuffer = (response: ServerResponse, { largeBody }: PolicyRoute): number => {
    if (largeBody !== 'request') return BUFFERED_BODY_BYTES;
    const release = uploadBudget.reserve(BUFFERED_UPLOAD_BYTES);
    if (!release) return BUFFERED_BODY_BYTES;
    response.once('close', release);
    return BUFFERED_UPLOAD_BYTES;
  };

  const waitForTurn = async ({ socket }: IncomingMessage): Promise<void> => {
    // A poll accepts one connection, so that one of many may have waited, and its caller may have closed it since.
    const isFirst = !seenConnections.has(socket);
    seenConnections.add(socket);
    await options.pacer.wait(isFirst);
  };

  const run = async (
    request: IncomingMessage,
    response: ServerResponse,
    accepted: AcceptedRequest,
    arrivedMilliseconds: number,
  ): Promise<ForwardResult | undefined> => {
    const { account, entry, head } = accepted;
    const { route } = entry;
    const waitedMilliseconds = clock.monotonicMilliseconds() - arrivedMilliseconds;
    const scope = createCallScope(clock, timeoutOf(head, route) - waitedMilliseconds);
    response.once('close', () => {
      if (!response.writableFinished) {
        scope.cancel('caller-gone');
        logLeft(head, route.name, arrivedMilliseconds);
      }
      scope.end();
    });
    const acceptedBytes = accepted.policy.requestLimits.bodyBytes;
    const read = await readRequestBody(request, {
      acceptedBytes,
      bufferedBytes: reserveBuffer(response, route),
      pacer,
      onExceeded: () => {
        logger.log('bodyTooLong', { requestId: head.requestId, limitBytes: acceptedBytes });
      },
    });
    if (!read.ok && read.error === 'caller-gone') return undefined;
    if (!read.ok) return notSent(refuse(read.error));
    // What arrives of a body that nobody reads would take far more memory, so the body is read first.
    await waitForTurn(request);
    if (hasLeft(request, response)) {
      scope.cancel('caller-gone');
      return undefined;
    }
    const refusal = await checkRateLimit(account?.id);
    if (refusal) return notSent(refusal);
    return forwardThrottled(accepted, {
      route,
      finishedSiblings: accepted.parent?.finishedCalls() ?? 0,
      allowedRegions: () => regionsInForce(policy.current(), accepted),
      call: {
        requestId: head.requestId as string,
        route: route.name,
        service: entry.nextService(),
        account: account?.id,
        chargedAccount: account?.id ?? accepted.parent?.chargedAccount,
        callerService,
        rank: accepted.rank,
        isNested: accepted.isNested,
        repeatable: route.repeatable,
        isRepeat: accepted.parent?.isRepeat ?? false,
        answerWindowBytes: answerWindow(),
        method: request.method as string,
        target: request.url as string,
        headers: forwardableHeaders(request.rawHeaders, { without: protocol.reservedNames }),
        body: read.value,
        scope,
      },
    });
  };

  const finish = async (
    request: IncomingMessage,
    response: ServerResponse,
    accepted: AcceptedRequest,
    result: ForwardResult,
  ): Promise<number> => {
    const { answer } = result;
    if (answer.kind === 'refusal')
      return reject(request, response, answer, accepted.rank, result.spreadMilliseconds);
    await writeResponse(response, answer, endHeaders(request));
    return answer.status;
  };

  const serve = async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const arrivedMilliseconds = clock.monotonicMilliseconds();
    const head = protocol.readRequest(request.headers);
    if (!policy.current()) {
      await Promise.race([policy.whenAvailable(), clock.sleep(POLICY_WAIT_MILLISECONDS)]);
    }
    if (response.destroyed) {
      logLeft(head, undefined, arrivedMilliseconds);
      return;
    }
    const accepted = acceptor.accept(request, head);
    if (!accepted.ok) {
      const status = reject(request, response, accepted.error, 0);
      logger.log('callRejected', {
        requestId: head.requestId,
        reason: accepted.error.reason,
        status,
        policyRevision: policy.current()?.revision,
        policyAgeMilliseconds: Math.round(policy.ageMilliseconds()),
      });
      return;
    }
    const result = await run(request, response, accepted.value, arrivedMilliseconds);
    if (!result) return;
    const status = await finish(request, response, accepted.value, result);
    const milliseconds = Math.round(clock.monotonicMilliseconds() - arrivedMilliseconds);
    const { account, entry } = accepted.value;
    const { answer, attempts, host } = result;
    metrics.observeCall(entry.route.name, status, milliseconds);
    if (answer.kind === 'answer') options.stopBound.observe(entry.route.name, milliseconds);
    logger.log(isSuccess(answer) ? 'callAnswered' : 'callFailedFinally', {
      requestId: head.requestId,
      route: entry.route.name,
      account: account?.id,
      rank: accepted.value.rank,
      parent: accepted.value.parent?.requestId,
      policyRevision: accepted.value.policy.revision,
      status,
      reason: answer.kind === 'refusal' ? answer.reason : undefined,
      outcome: answer.kind === 'refusal' ? answer.outcome : undefined,
      attempts,
      host,
      milliseconds,
    });
  };

  metrics.addGauge(
    'early_refusal_routes',
    'Routes of which some calls are refused at this entry because calls below them lack capacity',
    throttle.reducedRoutes,
  );

  return {
    inProgress: () => running,
    handle: async (request, response) => {
      running += 1;
      response.once('close', () => {
        running -= 1;
      });
      await serve(request, response);
    },
  };
}
