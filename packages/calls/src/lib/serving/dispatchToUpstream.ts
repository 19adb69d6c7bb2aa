import type { IncomingMessage } from 'node:http';

import type { AdmissionPermit } from '@buckthornslip/admission';
import { headerNames } from '@buckthornslip/wire';

import type { CallAnswer } from '../http/CallAnswer';
import type { ConnectionPool } from '../http/ConnectionPool';
import { exchangeOverHttp } from '../http/exchangeOverHttp';
import type { ExchangeResult } from '../http/ExchangeResult';
import { forwardableHeaders } from '../http/forwardableHeaders';
import { isFramed } from '../http/isFramed';
import { isServerError } from '../http/isServerError';
import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import { refusesConnections } from '../http/refusesConnections';
import type { ServingCall } from './ServingCall';
import type { ServingDependencies } from './ServingDependencies';

/** Default time to first byte for services that are not in the manifest, in milliseconds. */
const FIRST_BYTE_MILLISECONDS = 5_000;

type Failed = ExchangeResult & { readonly kind: 'failed' };
type PermitOutcome = Parameters<AdmissionPermit['release']>[0];

/** A call dispatched to the upstream. */
interface Dispatch {
  readonly call: ServingCall;
  readonly pool: ConnectionPool;
  readonly idleTimeoutMilliseconds: number;
  readonly failuresAtStart: number;
  readonly end: (outcome: PermitOutcome, answered: boolean) => void;
}

function upstreamHeaders(dependencies: ServingDependencies, call: ServingCall): string[] {
  const { context, scope } = call;
  const remaining = Math.max(1, Math.floor(scope.remainingMilliseconds()));
  const headers = [...call.headers];
  headers.push(headerNames.context, dependencies.signer.sign(context, 'upstream'));
  headers.push(headerNames.timeout, String(remaining));
  if (context.account !== undefined) headers.push(headerNames.account, context.account);
  return headers;
}

function recordProcessFailure(dependencies: ServingDependencies, dispatch: Dispatch): void {
  const { suspects, upstream } = dependencies;
  if (upstream.countFailure(dispatch.failuresAtStart)) suspects.upstreamFailed();
}

function cancelled(dependencies: ServingDependencies, call: ServingCall, sent: boolean): Refusal {
  const reason = call.scope.cancelReason();
  if (reason !== undefined) return refuse(reason, sent ? 'may-have-run' : 'not-run');
  if (call.scope.remainingMilliseconds() <= 0) return refuse('deadline-exceeded');
  // The call itself was not cancelled, so the upstream's state changed or no connection became free.
  const isReady = dependencies.upstream.current()?.state === 'ready';
  return refuse(isReady ? 'queue-timeout' : 'upstream-draining');
}

const failureHandlers: Readonly<
  Record<
    Failed['cause'],
    (dependencies: ServingDependencies, dispatch: Dispatch, sent: boolean) => Refusal
  >
> = {
  refused: (dependencies, dispatch) => {
    dispatch.end('failed', false);
    recordProcessFailure(dependencies, dispatch);
    dependencies.upstream.markLost();
    return refuse('upstream-failed');
  },
  unconnected: (_dependencies, dispatch) => {
    dispatch.end('failed', false);
    return refuse('upstream-failed');
  },
  reset: (dependencies, dispatch) => {
    recordProcessFailure(dependencies, dispatch);
    dispatch.end('failed', false);
    return refuse('upstream-failed', 'may-have-run');
  },
  silent: (_dependencies, dispatch, sent) => {
    dispatch.end('failed', false);
    return refuse('upstream-silent', sent ? 'may-have-run' : 'not-run');
  },
  cancelled: (dependencies, dispatch, sent) => {
    dispatch.end('cancelled', false);
    return cancelled(dependencies, dispatch.call, sent);
  },
  'body-failed': (_dependencies, dispatch, sent) => {
    dispatch.end('cancelled', false);
    return refuse(
      dispatch.call.scope.cancelReason() ?? 'caller-gone',
      sent ? 'may-have-run' : 'not-run',
    );
  },
  'body-silent': (_dependencies, dispatch, sent) => {
    dispatch.end('cancelled', false);
    return refuse('request-timeout', sent ? 'may-have-run' : 'not-run');
  },
  'body-too-large': (_dependencies, dispatch, sent) => {
    dispatch.end('cancelled', false);
    return refuse('body-too-large', sent ? 'may-have-run' : 'not-run');
  },
};

function isShed(response: IncomingMessage): boolean {
  return response.statusCode === 503 && response.headers[headerNames.outcome] === 'not-run';
}

function acceptShed(dispatch: Dispatch, response: IncomingMessage): Refusal {
  response.resume();
  response.once('close', () => dispatch.end('shed', true));
  const seconds = Number(response.headers['retry-after']);
  const shed = refuse('upstream-shed');
  return seconds > 0 ? { ...shed, retryAfterMilliseconds: seconds * 1000 } : shed;
}

/** A truncated body alone does not prove that the process ended; a refused connection does. */
async function endTruncated(dependencies: ServingDependencies, dispatch: Dispatch): Promise<void> {
  const isCancelled = dispatch.call.scope.cancelReason() !== undefined;
  if (!isCancelled && (await refusesConnections(dispatch.pool))) {
    recordProcessFailure(dependencies, dispatch);
    dependencies.upstream.markLost();
  }
  dispatch.end(isCancelled ? 'cancelled' : 'failed', false);
}

function acceptResponse(
  dependencies: ServingDependencies,
  dispatch: Dispatch,
  response: IncomingMessage,
): CallAnswer {
  const status = response.statusCode as number;
  response.once('close', () => {
    if (response.complete) dispatch.end(isServerError(status) ? 'failed' : 'completed', true);
    else void endTruncated(dependencies, dispatch);
  });
  const headers = forwardableHeaders(response.rawHeaders, { keepLength: true });
  const { pool, idleTimeoutMilliseconds } = dispatch;
  const onIdleTimeout = (): void => pool.countTimeout();
  return {
    kind: 'response',
    status,
    headers,
    body: response,
    idleTimeoutMilliseconds,
    onIdleTimeout,
  };
}

function acceptHead(
  dependencies: ServingDependencies,
  dispatch: Dispatch,
  response: IncomingMessage,
): CallAnswer {
  response.on('error', () => undefined);
  if (isShed(response)) return acceptShed(dispatch, response);
  if (!isFramed(response, dispatch.call.method)) {
    response.destroy();
    dispatch.end('failed', true);
    return refuse('upstream-failed', 'may-have-run');
  }
  return acceptResponse(dependencies, dispatch, response);
}

function mayStart(dependencies: ServingDependencies, call: ServingCall): boolean {
  const state = dependencies.upstream.current()?.state;
  return state === 'ready' && call.scope.remainingMilliseconds() > 0;
}

/**
 * Sends an admitted call to the upstream.
 *
 * @param dependencies - Dependencies of the serving side.
 * @param call - The call.
 * @param pool - Connection pool of the upstream.
 * @param permit - Permit to run the call; released when the call has ended.
 * @returns The upstream's response or a refusal.
 * @internal
 */
export async function dispatchToUpstream(
  dependencies: ServingDependencies,
  call: ServingCall,
  pool: ConnectionPool,
  permit: AdmissionPermit,
): Promise<CallAnswer> {
  const { clock, configuration, suspects, upstream } = dependencies;
  const service = upstream.current()?.service;
  const definition =
    service === undefined ? undefined : configuration.current()?.manifest.services.get(service);
  const idleTimeoutMilliseconds =
    definition?.firstByteTimeoutMilliseconds ?? FIRST_BYTE_MILLISECONDS;
  let ended = false;
  const dispatch: Dispatch = {
    call,
    pool,
    idleTimeoutMilliseconds,
    failuresAtStart: upstream.failures(),
    end: (outcome, answered) => {
      if (ended) return;
      ended = true;
      suspects.end(call.fingerprint, answered);
      permit.release(outcome);
    },
  };
  suspects.begin(call.fingerprint);
  const { body, method, scope, target } = call;
  const headers = upstreamHeaders(dependencies, call);
  const result = await exchangeOverHttp(clock, {
    pool,
    method,
    target,
    headers,
    body,
    scope,
    idleTimeoutMilliseconds,
    mayStart: () => mayStart(dependencies, call),
    retiresConnection: isShed,
  });
  if (result.kind === 'head') return acceptHead(dependencies, dispatch, result.response);
  return failureHandlers[result.cause](dependencies, dispatch, result.sent);
}
