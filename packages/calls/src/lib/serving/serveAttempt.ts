import type { AttemptId, RefusalReason } from '@buckthornslip/common';

import type { AttemptResult } from '../attempts/AttemptResult';
import type { CallAnswer } from '../http/CallAnswer';
import { createCallScope } from '../http/createCallScope';
import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import { recordAttempt } from './recordAttempt';
import { runCall } from './runCall';
import type { ServingCall } from './ServingCall';
import type { ServingDependencies } from './ServingDependencies';

function neverRunRefusal(reason: RefusalReason): Refusal {
  return { ...refuse(reason), attemptNeverRuns: true };
}

function storedAnswer(result: AttemptResult): CallAnswer {
  if (result.kind === 'ended') {
    // The key of an attempt that never ran can be claimed again. For others, the response is no longer available.
    return result.outcome === 'not-run'
      ? neverRunRefusal('upstream-draining')
      : refuse('outcome-unknown', result.outcome);
  }
  const { body, headers, status } = result.response;
  const flat = Object.entries(headers).flatMap(([name, value]) =>
    [value ?? []].flat().flatMap((item) => [name, item]),
  );
  return { kind: 'response', status, headers: flat, body, idleTimeoutMilliseconds: 0 };
}

async function join(call: ServingCall, result: Promise<AttemptResult>): Promise<CallAnswer> {
  const { scope } = call;
  const cancelled = new Promise<undefined>((resolve) => {
    scope.onCancel(() => resolve(undefined));
  });
  const ended = await Promise.race([result, cancelled]);
  if (ended !== undefined) return storedAnswer(ended);
  return refuse(scope.cancelReason() ?? 'caller-gone', 'may-have-run');
}

async function runFirst(
  dependencies: ServingDependencies,
  call: ServingCall,
  attemptId: AttemptId,
): Promise<CallAnswer> {
  const { attempts, clock } = dependencies;
  // The attempt outlives the connection of its request, so that a repeat can still get its result.
  const scope = createCallScope(clock, call.scope.remainingMilliseconds());
  const { body } = call;
  call.scope.onCancel(() => {
    // The attempt cannot finish without its complete body, for example when a key is withdrawn during the upload.
    const isArriving = body.kind === 'stream' && !body.stream.readableEnded;
    if (isArriving) scope.cancel(call.scope.cancelReason() ?? 'caller-gone');
  });
  const answer = await runCall(dependencies, { ...call, scope });
  if (answer.kind === 'refusal') {
    scope.end();
    // Recorded before the answer is sent: a repeat that arrives later must find that this attempt never runs.
    attempts.finish(attemptId, { kind: 'ended', outcome: answer.outcome });
    return { ...answer, attemptNeverRuns: answer.outcome === 'not-run' };
  }
  return recordAttempt(answer, (result) => {
    scope.end();
    attempts.finish(attemptId, result);
  });
}

/**
 * Runs an attempt at most once on this node.
 *
 * @param dependencies - Dependencies of the serving side.
 * @param call - The call.
 * @param attemptId - The attempt.
 * @returns The answer of the single run, also for repeats.
 * @internal
 */
export async function serveAttempt(
  dependencies: ServingDependencies,
  call: ServingCall,
  attemptId: AttemptId,
): Promise<CallAnswer> {
  const entered = dependencies.attempts.enter(attemptId);
  if (entered.kind === 'full') return refuse('queue-full');
  if (entered.kind === 'known') return join(call, entered.result);
  if (call.joinOnly) {
    dependencies.attempts.finish(attemptId, { kind: 'ended', outcome: 'not-run' });
    return neverRunRefusal('peer-unreachable');
  }
  return runFirst(dependencies, call, attemptId);
}
