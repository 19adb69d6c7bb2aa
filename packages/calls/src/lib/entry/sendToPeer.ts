import type { AttemptReport } from '@buckthornslip/routing';
import { headerNames } from '@buckthornslip/wire';

import { exchangeOverHttp } from '../http/exchangeOverHttp';
import type { ExchangeResult } from '../http/ExchangeResult';
import { internalHeaderNames } from '../http/internalHeaderNames';
import { isFramed } from '../http/isFramed';
import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import type { RequestBody } from '../http/RequestBody';
import { parseLoadHeader } from '../serving/parseLoadHeader';
import type { AttemptTarget, SendResult } from './AttemptTarget';
import type { PeerPools } from './createPeerPools';
import type { ForwarderDependencies } from './ForwarderDependencies';
import { peerIdleTimeout } from './peerIdleTimeout';
import { readPeerAnswer } from './readPeerAnswer';
import type { RoutedCall } from './RoutedCall';

type Failed = ExchangeResult & { readonly kind: 'failed' };

const NO_BODY: RequestBody = { kind: 'whole', bytes: Buffer.alloc(0) };

function peerHeaders(
  dependencies: ForwarderDependencies,
  call: RoutedCall,
  attempt: AttemptTarget,
): string[] {
  const headers = [...call.headers];
  headers.push(headerNames.context, dependencies.signer.sign(call.context, 'peer'));
  const remaining = Math.max(1, Math.floor(call.scope.remainingMilliseconds()));
  headers.push(headerNames.timeout, String(remaining));
  headers.push(internalHeaderNames.fingerprint, call.fingerprint);
  if (attempt.attemptId !== undefined) {
    headers.push(internalHeaderNames.attempt, attempt.attemptId);
    headers.push(internalHeaderNames.incarnation, String(attempt.member.incarnation));
  }
  if (attempt.joinOnly) headers.push(internalHeaderNames.join, '1');
  return headers;
}

function refusalOf(failed: Failed, call: RoutedCall): Refusal {
  const outcome = failed.sent ? 'may-have-run' : 'not-run';
  const cancelReason = call.scope.cancelReason();
  if (cancelReason !== undefined) return refuse(cancelReason, outcome);
  const reasons = {
    refused: 'peer-unreachable',
    unconnected: 'peer-unreachable',
    reset: 'peer-unreachable',
    silent: 'upstream-silent',
    cancelled: 'queue-timeout',
    'body-failed': 'caller-gone',
    'body-silent': 'request-timeout',
    'body-too-large': 'body-too-large',
  } as const;
  return refuse(reasons[failed.cause], outcome);
}

const reportedOutcomes: Readonly<Record<Failed['cause'], AttemptReport['outcome']>> = {
  refused: 'failed',
  unconnected: 'failed',
  reset: 'failed',
  silent: 'silent',
  cancelled: 'cancelled',
  'body-failed': 'cancelled',
  'body-silent': 'cancelled',
  'body-too-large': 'cancelled',
};

function sentBytes(body: RequestBody): number {
  return body.kind === 'whole' ? body.bytes.length : (body.length ?? 0);
}

function endFailed(
  dependencies: ForwarderDependencies,
  call: RoutedCall,
  attempt: AttemptTarget,
  failed: Failed,
): SendResult {
  const { host } = attempt.member;
  const outcome = reportedOutcomes[failed.cause];
  const { service } = call.route;
  const report = { host, service, latencyMilliseconds: 0, transferredBytes: 0, load: undefined };
  dependencies.router.report({ ...report, outcome });
  const isUnreachable = failed.cause === 'refused' || failed.cause === 'unconnected';
  if (isUnreachable) dependencies.membership.suspect(host);
  const lost = outcome === 'failed' || outcome === 'silent';
  return { answer: refusalOf(failed, call), lost, sent: failed.sent };
}

/**
 * Sends one attempt to a serving node on another host.
 *
 * @param dependencies - Dependencies of the forwarder.
 * @param pools - Connection pools of peers.
 * @param call - The call.
 * @param attempt - The serving node and the attempt's id.
 * @returns The result of the send.
 * @internal
 */
export async function sendToPeer(
  dependencies: ForwarderDependencies,
  pools: PeerPools,
  call: RoutedCall,
  attempt: AttemptTarget,
): Promise<SendResult> {
  const { member } = attempt;
  const { method, route, scope, target } = call;
  const pool = pools.get(member);
  const idleTimeoutMilliseconds = peerIdleTimeout(dependencies.configuration, route.service);
  const headers = peerHeaders(dependencies, call, attempt);
  const body = attempt.joinOnly ? NO_BODY : call.body;
  const exchange = { pool, method, target, headers, body, scope, idleTimeoutMilliseconds };
  const result = await exchangeOverHttp(dependencies.clock, exchange);
  if (result.kind === 'failed') return endFailed(dependencies, call, attempt, result);
  const { response, latencyMilliseconds } = result;
  response.on('error', () => undefined);
  if (!isFramed(response, method)) {
    response.destroy();
    return endFailed(dependencies, call, attempt, { kind: 'failed', cause: 'reset', sent: true });
  }
  const answer = readPeerAnswer(response, idleTimeoutMilliseconds);
  const { socket } = response;
  const readBefore = socket.bytesRead;
  const outcome = answer.kind === 'response' ? 'answered' : 'refused';
  response.once('close', () => {
    const transferredBytes = sentBytes(body) + socket.bytesRead - readBefore;
    const load = parseLoadHeader(answer.load);
    const { service } = route;
    dependencies.router.report({
      host: member.host,
      service,
      outcome,
      latencyMilliseconds,
      transferredBytes,
      load,
    });
  });
  if (answer.kind === 'refusal') return { answer, lost: false, sent: true };
  const onIdleTimeout = (): void => pool.countTimeout();
  return { answer: { ...answer, onIdleTimeout }, lost: false, sent: true };
}
