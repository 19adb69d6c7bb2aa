import type { IncomingMessage, ServerResponse } from 'node:http';

import type { Result } from '@buckthornslip/common';
import { failure, success } from '@buckthornslip/common';
import type { RouteDefinition } from '@buckthornslip/config';
import { headerNames } from '@buckthornslip/wire';

import type { CallAnswer } from '../http/CallAnswer';
import type { CallScope } from '../http/CallScope';
import { checkRequestHead } from '../http/checkRequestHead';
import { createCallScope } from '../http/createCallScope';
import { defaultHttpLimits } from '../http/defaultHttpLimits';
import { normaliseTarget } from '../http/normaliseTarget';
import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import { sendAnswer } from '../http/sendAnswer';
import { sendRefusal } from '../http/sendRefusal';
import { singleHeader } from '../http/singleHeader';
import type { Authenticated } from './authenticate';
import { authenticate } from './authenticate';
import { bearerKey } from './bearerKey';
import { createRootContext } from './createRootContext';
import type { WithdrawalWatch } from './createWithdrawalWatch';
import { DEADLINE_GRACE_MILLISECONDS } from './DEADLINE_GRACE_MILLISECONDS';
import { declaredTimeout } from './declaredTimeout';
import { digestKey } from './digestKey';
import type { EntryDependencies } from './EntryDependencies';
import { matchRoute } from './matchRoute';
import { receiveRoutedCall } from './receiveRoutedCall';

/**
 * State shared by all requests of a listener.
 *
 * @internal
 */
export interface EntryState {
  /** Notifies calls when their keys are withdrawn. */
  readonly watch: WithdrawalWatch;
  /** Returns the encodings of a key, which must not be forwarded. */
  readonly keyEncodings: (digest: string, key: string) => readonly string[];
}

/** Progress of a call, which decides whether a withdrawal of its key cancels it. */
interface CallProgress {
  readonly markAttempted: () => void;
  readonly markWithdrawn: () => void;
  readonly wasAttempted: () => boolean;
  readonly isWithdrawn: () => boolean;
}

function createCallProgress(): CallProgress {
  let attempted = false;
  let withdrawn = false;
  return {
    markAttempted: () => {
      attempted = true;
    },
    markWithdrawn: () => {
      withdrawn = true;
    },
    wasAttempted: () => attempted,
    isWithdrawn: () => withdrawn,
  };
}

/** A request that passed validation and authentication. */
interface Accepted {
  readonly route: RouteDefinition;
  readonly target: string;
  /** Undefined for open routes. */
  readonly authenticated: Authenticated | undefined;
  readonly timeoutMilliseconds: number;
  readonly keyEncodings: readonly string[];
}

function accept(
  dependencies: EntryDependencies,
  state: EntryState,
  request: IncomingMessage,
): Result<Accepted, Refusal> {
  const { configuration } = dependencies;
  if (!checkRequestHead(request)) return failure(refuse('header-invalid'));
  const normalised = normaliseTarget(request.url ?? '');
  if (normalised === undefined) return failure(refuse('request-invalid'));
  const snapshot = configuration.current();
  if (snapshot === undefined) return failure(refuse('configuration-missing'));
  const route = matchRoute(snapshot.manifest.routes, request.method ?? '', normalised.path);
  if (route === undefined) return failure(refuse('route-not-found'));
  const key = bearerKey(singleHeader(request, headerNames.authorization));
  const digest = key === undefined ? undefined : digestKey(key);
  const encodings =
    key === undefined || digest === undefined ? [] : state.keyEncodings(digest, key);
  const { target } = normalised;
  if (encodings.some((encoding) => target.includes(encoding)))
    return failure(refuse('request-invalid'));
  const timeoutMilliseconds = declaredTimeout(request, route.deadlineMilliseconds);
  if (timeoutMilliseconds === undefined) return failure(refuse('header-invalid'));
  const accepted = { route, target, timeoutMilliseconds, keyEncodings: encodings };
  if (route.access === 'open') return success({ ...accepted, authenticated: undefined });
  const authenticated = authenticate(snapshot, configuration.isFresh(), route, digest);
  return authenticated.ok
    ? success({ ...accepted, authenticated: authenticated.value })
    : authenticated;
}

async function spendToken(
  dependencies: EntryDependencies,
  authenticated: Authenticated | undefined,
  scope: CallScope,
): Promise<Refusal | undefined> {
  if (authenticated === undefined) return undefined;
  const spent = await dependencies.limiter.spend(authenticated.account.id, scope.signal);
  if (spent.ok) return undefined;
  const { kind, retryAfterMilliseconds } = spent.error;
  return { ...refuse(scope.cancelReason() ?? kind), retryAfterMilliseconds };
}

async function runAccepted(
  dependencies: EntryDependencies,
  response: ServerResponse,
  scope: CallScope,
  accepted: Accepted,
  progress: CallProgress,
): Promise<CallAnswer> {
  const { authenticated, route, target, timeoutMilliseconds } = accepted;
  const refused = await spendToken(dependencies, authenticated, scope);
  if (refused !== undefined) return refused;
  const account = authenticated?.account.id;
  const context = createRootContext(dependencies, route, account, timeoutMilliseconds);
  const { bodyIdleMilliseconds } = dependencies.limits ?? defaultHttpLimits;
  dependencies.retryPolicy.openRoot(context.rootCallId, route.retryBudget);
  response.once('close', () => dependencies.retryPolicy.closeRoot(context.rootCallId));
  return receiveRoutedCall(dependencies, {
    request: response.req,
    route,
    target,
    context,
    scope,
    bodyIdleMilliseconds,
    keyEncodings: accepted.keyEncodings,
    stopReason: () => (progress.isWithdrawn() ? 'key-withdrawn' : undefined),
    onAttempt: progress.markAttempted,
  });
}

/** A withdrawal cancels a call that has not been sent or whose body is still arriving; other calls continue. */
function watchForWithdrawal(
  watch: WithdrawalWatch,
  request: IncomingMessage,
  scope: CallScope,
  digest: string | undefined,
  progress: CallProgress,
): () => void {
  if (digest === undefined) return () => undefined;
  return watch.add(digest, () => {
    progress.markWithdrawn();
    if (!progress.wasAttempted() || !request.complete) scope.cancel('key-withdrawn');
  });
}

/**
 * Handles one request from a caller.
 *
 * @param dependencies - Dependencies of the listener.
 * @param state - State shared by all requests.
 * @param request - The request.
 * @param response - Response to write the answer to.
 * @internal
 */
export async function handleEntryRequest(
  dependencies: EntryDependencies,
  state: EntryState,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const accepted = accept(dependencies, state, request);
  if (!accepted.ok) {
    sendRefusal(dependencies, response, accepted.error);
    return;
  }
  const { authenticated, timeoutMilliseconds } = accepted.value;
  const scope = createCallScope(
    dependencies.clock,
    timeoutMilliseconds,
    DEADLINE_GRACE_MILLISECONDS,
  );
  const progress = createCallProgress();
  const stopWatching = watchForWithdrawal(
    state.watch,
    request,
    scope,
    authenticated?.digest,
    progress,
  );
  response.once('close', () => {
    if (!response.writableFinished) scope.cancel('caller-gone');
    scope.end();
    stopWatching();
  });
  const answer = await runAccepted(dependencies, response, scope, accepted.value, progress);
  await sendAnswer(dependencies, response, answer, scope);
}
