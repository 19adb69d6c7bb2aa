import type { IncomingMessage, ServerResponse } from 'node:http';

import type { AttemptId, NodeIdentity } from '@buckthornslip/common';
import { headerNames } from '@buckthornslip/wire';

import type { CallContext } from '../context/CallContext';
import type { ContextSigner } from '../context/ContextSigner';
import type { CallAnswer } from '../http/CallAnswer';
import type { CallPathDependencies } from '../http/CallPathDependencies';
import type { CallScope } from '../http/CallScope';
import { checkRequestHead } from '../http/checkRequestHead';
import { createCallScope } from '../http/createCallScope';
import { createHttpListener } from '../http/createHttpListener';
import { defaultHttpLimits } from '../http/defaultHttpLimits';
import { forwardableHeaders } from '../http/forwardableHeaders';
import type { HttpLimits } from '../http/HttpLimits';
import type { HttpListener } from '../http/HttpListener';
import { internalHeaderNames } from '../http/internalHeaderNames';
import { readBody } from '../http/readBody';
import { refuse } from '../http/refuse';
import { sendAnswer } from '../http/sendAnswer';
import { sendRefusal } from '../http/sendRefusal';
import { singleHeader } from '../http/singleHeader';
import { withAddedHeaders } from '../http/withAddedHeaders';
import type { ServingCall } from './ServingCall';
import type { ServingNode } from './ServingNode';

/**
 * Dependencies of the listener for peers.
 *
 * @public
 */
export interface ServingServerDependencies extends CallPathDependencies {
  readonly identity: NodeIdentity;
  readonly serving: ServingNode;
  readonly signer: ContextSigner;
  readonly limits?: HttpLimits;
}

function remainingTime(
  dependencies: ServingServerDependencies,
  request: IncomingMessage,
  context: CallContext,
): number {
  const fromContext = context.deadlineWallMilliseconds - dependencies.clock.wallMilliseconds();
  const declared = Number(singleHeader(request, headerNames.timeout));
  return declared > 0 ? declared : fromContext;
}

async function receiveCall(
  dependencies: ServingServerDependencies,
  request: IncomingMessage,
  context: CallContext,
  scope: CallScope,
  isDraining: boolean,
): Promise<CallAnswer> {
  const { bodyIdleMilliseconds } = dependencies.limits ?? defaultHttpLimits;
  // The entry node has already enforced the route's body limit.
  const limits = { limitBytes: Infinity, idleMilliseconds: bodyIdleMilliseconds };
  const body = await readBody(dependencies.clock, request, scope, limits);
  if (body.kind === 'refusal') return body;
  const call: ServingCall = {
    context,
    method: request.method ?? 'GET',
    target: request.url ?? '/',
    headers: forwardableHeaders(request.rawHeaders),
    body,
    scope,
    fingerprint: singleHeader(request, internalHeaderNames.fingerprint) ?? '',
    attemptId: singleHeader(request, internalHeaderNames.attempt) as AttemptId | undefined,
    joinOnly: isDraining || singleHeader(request, internalHeaderNames.join) !== undefined,
  };
  const answer = await dependencies.serving.serve(call);
  const isRefused = isDraining && answer.kind === 'refusal' && answer.attemptNeverRuns === true;
  return isRefused ? { ...answer, reason: 'node-stopping' } : answer;
}

function isOtherIncarnation(
  dependencies: ServingServerDependencies,
  request: IncomingMessage,
): boolean {
  const wanted = singleHeader(request, internalHeaderNames.incarnation);
  return wanted !== undefined && wanted !== String(dependencies.identity.incarnation);
}

async function handle(
  dependencies: ServingServerDependencies,
  request: IncomingMessage,
  response: ServerResponse,
  isDraining: boolean,
): Promise<void> {
  if (!checkRequestHead(request)) {
    sendRefusal(dependencies, response, refuse('header-invalid'));
    return;
  }
  const verified = dependencies.signer.verify(singleHeader(request, headerNames.context), 'peer');
  if (!verified.ok) {
    sendRefusal(dependencies, response, refuse('context-invalid'));
    return;
  }
  if (isOtherIncarnation(dependencies, request)) {
    sendRefusal(dependencies, response, refuse('outcome-unknown', 'may-have-run'));
    return;
  }
  const remaining = remainingTime(dependencies, request, verified.value);
  const scope = createCallScope(dependencies.clock, remaining);
  response.once('close', () => {
    if (!response.writableFinished) scope.cancel('caller-gone');
  });
  const answer = await receiveCall(dependencies, request, verified.value, scope, isDraining);
  await sendAnswer(dependencies, response, answer, scope);
  scope.end();
}

/**
 * Handles a request during a drain. It can still join an attempt that is running or has run. Other attempts are marked
 * as never to run, so that their keys can be bound to another node.
 */
async function handleDraining(
  dependencies: ServingServerDependencies,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const isAttempt = singleHeader(request, internalHeaderNames.attempt) !== undefined;
  if (isAttempt) await handle(dependencies, request, response, true);
  else sendRefusal(dependencies, response, refuse('node-stopping'));
}

/**
 * Creates the listener for calls that peers forward.
 *
 * @param dependencies - Dependencies of the listener.
 * @returns The listener.
 * @public
 */
export function createServingServer(dependencies: ServingServerDependencies): HttpListener {
  const limits = withAddedHeaders(dependencies.limits ?? defaultHttpLimits);
  return createHttpListener(
    dependencies,
    limits,
    (request, response) => handle(dependencies, request, response, false),
    (request, response) => handleDraining(dependencies, request, response),
  );
}
