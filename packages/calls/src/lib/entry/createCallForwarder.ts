import type { HostId, Outcome } from '@buckthornslip/common';
import { isSameNode } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { CallAnswer } from '../http/CallAnswer';
import { combineOutcomes } from '../http/combineOutcomes';
import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import type { AttemptTarget, SendResult } from './AttemptTarget';
import type { CallForwarder } from './CallForwarder';
import { claimAttempt } from './claimAttempt';
import type { PeerPools } from './createPeerPools';
import { createPeerPools } from './createPeerPools';
import type { ForwarderDependencies } from './ForwarderDependencies';
import { isRetriedReason } from './isRetriedReason';
import { resumeAttempt } from './resumeAttempt';
import type { RoutedCall } from './RoutedCall';
import { sendToPeer } from './sendToPeer';
import { sendToSelf } from './sendToSelf';

/** State of a call before its next attempt. */
interface Progress {
  readonly excludedHosts: Set<HostId>;
  /** Number of attempts, including the current one. */
  readonly attempts: number;
  /** Combined outcome of the earlier attempts. */
  readonly outcome: Outcome;
  /** Refusal of the previous attempt. */
  readonly last: Refusal | undefined;
}

function sendAttempt(
  dependencies: ForwarderDependencies,
  pools: PeerPools,
  call: RoutedCall,
  attempt: AttemptTarget,
): Promise<SendResult> {
  return isSameNode(attempt.member, dependencies.identity)
    ? sendToSelf(dependencies, call, attempt)
    : sendToPeer(dependencies, pools, call, attempt);
}

/** Releases the key of an attempt that is proven never to run, so that another attempt can claim it. */
async function releaseIfNotRun(
  dependencies: ForwarderDependencies,
  call: RoutedCall,
  attempt: AttemptTarget,
  result: SendResult,
): Promise<SendResult> {
  const { answer } = result;
  if (answer.kind === 'response' || call.scopedKey === undefined) return result;
  if (answer.attemptNeverRuns === true && attempt.attemptId !== undefined) {
    await dependencies.idempotency.release(call.route.service, call.scopedKey, attempt.attemptId);
    // Not passed on to the caller, since the attempt no longer exists.
    return { ...result, answer: { ...answer, attemptNeverRuns: false } };
  }
  // The key stays bound: another request with this key may have reached the serving node.
  return {
    ...result,
    answer: { ...answer, outcome: combineOutcomes(answer.outcome, 'may-have-run') },
  };
}

async function attemptOnce(
  dependencies: ForwarderDependencies,
  pools: PeerPools,
  call: RoutedCall,
  chosen: Member,
): Promise<SendResult> {
  if (call.route.repeatable) {
    const attempt = { member: chosen, attemptId: undefined, joinOnly: false };
    return sendAttempt(dependencies, pools, call, attempt);
  }
  const claimed = await claimAttempt(dependencies, call, chosen);
  if (!claimed.ok) return { answer: claimed.error, lost: false, sent: false };
  const attempt = claimed.value;
  const result = await resumeAttempt(dependencies, call, attempt, (one) =>
    sendAttempt(dependencies, pools, call, one),
  );
  return releaseIfNotRun(dependencies, call, attempt, result);
}

function withOutcome(answer: Refusal, progress: Progress): Refusal {
  return { ...answer, outcome: combineOutcomes(answer.outcome, progress.outcome) };
}

async function chooseAndSend(
  dependencies: ForwarderDependencies,
  pools: PeerPools,
  call: RoutedCall,
  progress: Progress,
): Promise<CallAnswer> {
  const { body, context, route } = call;
  const bodyBytes = body.kind === 'whole' ? body.bytes.length : body.length;
  const { excludedHosts } = progress;
  const { priority } = context;
  const chosen = await dependencies.router.choose({
    service: route.service,
    priority,
    bodyBytes,
    excludedHosts,
    allowedRegions: undefined,
  });
  // When all nodes have been tried, the last node's refusal is more informative than that none is left.
  if (!chosen.ok) return progress.last ?? refuse(chosen.error.kind);
  excludedHosts.add(chosen.value.host);
  call.onAttempt();
  const result = await attemptOnce(dependencies, pools, call, chosen.value);
  return result.answer;
}

async function mayRetry(
  dependencies: ForwarderDependencies,
  call: RoutedCall,
  answer: Refusal,
  progress: Progress,
): Promise<boolean> {
  if (!isRetriedReason(answer.reason) || call.scope.cancelReason() !== undefined) return false;
  const { repeatable, service } = call.route;
  const bodyAvailable = call.body.kind === 'whole' || !call.body.stream.readableDidRead;
  const decision = await dependencies.retryPolicy.decide({
    context: call.context,
    service,
    outcome: answer.outcome,
    repeatable,
    bodyAvailable,
    attempts: progress.attempts,
    suspected: answer.reason === 'upstream-failed' && answer.outcome !== 'not-run',
  });
  dependencies.metrics.countRetry(decision.reason);
  if (!decision.retry || !bodyAvailable) return false;
  await dependencies.clock.sleep(decision.backOffMilliseconds, call.scope.signal);
  return true;
}

async function forward(
  dependencies: ForwarderDependencies,
  pools: PeerPools,
  call: RoutedCall,
): Promise<CallAnswer> {
  let progress: Progress = {
    excludedHosts: new Set(),
    attempts: 1,
    outcome: 'not-run',
    last: undefined,
  };
  dependencies.retryPolicy.countFirstAttempt(call.route.service);
  for (;;) {
    const stop = call.scope.cancelReason() ?? call.stopReason();
    if (stop !== undefined) return withOutcome(refuse(stop), progress);
    const answer = await chooseAndSend(dependencies, pools, call, progress);
    if (answer.kind === 'response') return answer;
    const refusal = withOutcome(answer, progress);
    if (answer === progress.last || !(await mayRetry(dependencies, call, answer, progress))) {
      return refusal;
    }
    const { excludedHosts, attempts } = progress;
    const { outcome } = refusal;
    progress = { excludedHosts, attempts: attempts + 1, outcome, last: answer };
  }
}

/**
 * Creates the forwarder, which sends calls to serving nodes.
 *
 * @param dependencies - Dependencies of the forwarder.
 * @returns The forwarder.
 * @public
 */
export function createCallForwarder(dependencies: ForwarderDependencies): CallForwarder {
  const pools = createPeerPools(dependencies);
  return {
    forward: (call) => forward(dependencies, pools, call),
    close: () => pools.close(),
  };
}
