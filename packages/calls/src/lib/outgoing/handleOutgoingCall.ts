import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';

import type { CallId, Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { RouteDefinition } from '@buckthornslip/config';
import { headerNames } from '@buckthornslip/wire';

import type { CallContext } from '../context/CallContext';
import { createRootContext } from '../entry/createRootContext';
import { DEADLINE_GRACE_MILLISECONDS } from '../entry/DEADLINE_GRACE_MILLISECONDS';
import { declaredTimeout } from '../entry/declaredTimeout';
import { matchRoute } from '../entry/matchRoute';
import { receiveRoutedCall } from '../entry/receiveRoutedCall';
import { checkRequestHead } from '../http/checkRequestHead';
import { createCallScope } from '../http/createCallScope';
import { defaultHttpLimits } from '../http/defaultHttpLimits';
import { normaliseTarget } from '../http/normaliseTarget';
import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import { sendAnswer } from '../http/sendAnswer';
import { sendRefusal } from '../http/sendRefusal';
import { singleHeader } from '../http/singleHeader';
import type { OutgoingDependencies } from './OutgoingDependencies';

/** Maximum depth of a call chain. */
const HOP_LIMIT = 16;

/** A validated call of the upstream. */
interface Accepted {
  readonly route: RouteDefinition;
  readonly target: string;
  readonly timeoutMilliseconds: number;
  readonly context: CallContext;
  /** Context that the upstream sent; undefined for a root call. */
  readonly parent: CallContext | undefined;
}

function childContext(parent: CallContext, deadlineWallMilliseconds: number): CallContext {
  const callId = randomUUID() as string as CallId;
  return { ...parent, callId, depth: parent.depth + 1, deadlineWallMilliseconds };
}

function acceptChild(
  dependencies: OutgoingDependencies,
  request: IncomingMessage,
  route: RouteDefinition,
  target: string,
): Result<Accepted, Refusal> {
  const header = singleHeader(request, headerNames.context);
  const verified = dependencies.signer.verify(header, 'upstream');
  if (!verified.ok) {
    const { kind } = verified.error;
    return failure(refuse(kind === 'expired' ? 'deadline-exceeded' : 'context-invalid'));
  }
  const parent = verified.value;
  if (parent.depth + 1 > HOP_LIMIT) return failure(refuse('hop-limit'));
  if (route.access === 'keyed' && parent.account === undefined) {
    return failure(refuse('context-invalid'));
  }
  const now = dependencies.clock.wallMilliseconds();
  const longest = Math.min(route.deadlineMilliseconds, parent.deadlineWallMilliseconds - now);
  const timeoutMilliseconds = declaredTimeout(request, longest);
  if (timeoutMilliseconds === undefined) return failure(refuse('header-invalid'));
  if (timeoutMilliseconds <= 0) return failure(refuse('deadline-exceeded'));
  const context = childContext(parent, now + timeoutMilliseconds);
  return success({ route, target, timeoutMilliseconds, context, parent });
}

function acceptRoot(
  dependencies: OutgoingDependencies,
  request: IncomingMessage,
  route: RouteDefinition,
  target: string,
): Result<Accepted, Refusal> {
  if (route.access !== 'open') return failure(refuse('context-invalid'));
  const timeoutMilliseconds = declaredTimeout(request, route.deadlineMilliseconds);
  if (timeoutMilliseconds === undefined) return failure(refuse('header-invalid'));
  const context = createRootContext(dependencies, route, undefined, timeoutMilliseconds);
  return success({ route, target, timeoutMilliseconds, context, parent: undefined });
}

function accept(
  dependencies: OutgoingDependencies,
  request: IncomingMessage,
): Result<Accepted, Refusal> {
  if (!checkRequestHead(request)) return failure(refuse('header-invalid'));
  const normalised = normaliseTarget(request.url ?? '');
  if (normalised === undefined) return failure(refuse('request-invalid'));
  const snapshot = dependencies.configuration.current();
  if (snapshot === undefined) return failure(refuse('configuration-missing'));
  const route = matchRoute(snapshot.manifest.routes, request.method ?? '', normalised.path);
  if (route === undefined) return failure(refuse('route-not-found'));
  const hasContext = singleHeader(request, headerNames.context) !== undefined;
  const acceptWithContext = hasContext ? acceptChild : acceptRoot;
  return acceptWithContext(dependencies, request, route, normalised.target);
}

/** Opens the retry budget of a root call, or returns a function that charges a nested call if it is a repeat. */
function createRepeatCharge(
  dependencies: OutgoingDependencies,
  response: ServerResponse,
  { context, parent, route }: Accepted,
): (requestDigest: string) => Promise<Refusal | undefined> {
  const { retryPolicy } = dependencies;
  if (parent !== undefined) {
    return async (requestDigest) =>
      (await retryPolicy.chargeRepeat(parent, requestDigest)) ? undefined : refuse('retry-budget');
  }
  retryPolicy.openRoot(context.rootCallId, route.retryBudget);
  response.once('close', () => retryPolicy.closeRoot(context.rootCallId));
  return () => Promise.resolve(undefined);
}

/**
 * Handles an outgoing call of the node's local upstream.
 *
 * @param dependencies - Dependencies of the listener.
 * @param request - The request.
 * @param response - Response to write the answer to.
 * @internal
 */
export async function handleOutgoingCall(
  dependencies: OutgoingDependencies,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const accepted = accept(dependencies, request);
  if (!accepted.ok) {
    sendRefusal(dependencies, response, accepted.error);
    return;
  }
  const { context, route, target, timeoutMilliseconds } = accepted.value;
  const scope = createCallScope(
    dependencies.clock,
    timeoutMilliseconds,
    DEADLINE_GRACE_MILLISECONDS,
  );
  response.once('close', () => {
    if (!response.writableFinished) scope.cancel('caller-gone');
    scope.end();
  });
  const { bodyIdleMilliseconds } = dependencies.limits ?? defaultHttpLimits;
  const answer = await receiveRoutedCall(dependencies, {
    request,
    route,
    target,
    context,
    scope,
    bodyIdleMilliseconds,
    keyEncodings: [],
    stopReason: () => undefined,
    onAttempt: () => undefined,
    beforeSending: createRepeatCharge(dependencies, response, accepted.value),
  });
  await sendAnswer(dependencies, response, answer, scope);
}
