import type { Refusal } from '@buckthornslip/calls';
import { isServerError, refuse } from '@buckthornslip/calls';
import type { RefusalReason } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';
import type { AttemptReport } from '@buckthornslip/routing';

import { priorityOfRank } from '../policy/priorityOfRank';
import type { AttemptResult, UpstreamResponse } from '../serving/AttemptResult';
import type { CallAttempt } from '../serving/CallAttempt';
import type { CallProgress } from './createCallProgress';
import { createCallProgress } from './createCallProgress';
import type { EntryCall } from './EntryCall';
import type { EntryOptions } from './EntryOptions';
import type { EntryThrottle } from './createEntryThrottle';
import type { ForwardResult } from './ForwardResult';

/** Forwards calls to serving nodes, with retries. */
export interface Forwarder {
  readonly forward: (entryCall: EntryCall) => Promise<ForwardResult>;
}

/** Most nodes that one call is sent to, including nodes that refuse it before it reaches an upstream. */
const MAXIMUM_NODES = 4;

/** Shortest remaining time in which a retry is started, in milliseconds. */
const MINIMUM_ATTEMPT_MILLISECONDS = 20;

/** Refusals of a serving node after which the call may be retried at another node. */
const RETRYABLE_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'no-upstream',
  'node-stopping',
  'peer-unreachable',
  'priority-cutoff',
  'queue-full',
  'queue-timeout',
  'upstream-draining',
  'upstream-failed',
  'upstream-shed',
  'zone-evacuated',
]);

/** Refusals which show that the router has a stale state of the serving node. */
const STALE_STATE_REASONS: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
  'no-upstream',
  'upstream-draining',
  'zone-evacuated',
]);

type ReportOutcome = AttemptReport['outcome'];

function reportOutcome(answer: UpstreamResponse | Refusal): ReportOutcome {
  if (answer.kind === 'answer') return isServerError(answer.status) ? 'errored' : 'answered';
  if (answer.reason === 'caller-gone' || answer.reason === 'deadline-exceeded') return 'cancelled';
  const isFailure = answer.reason === 'peer-unreachable' || answer.reason === 'upstream-failed';
  return isFailure ? 'failed' : 'refused';
}

/**
 * Creates the forwarder of an entry node.
 *
 * @param options - Dependencies of the entry side.
 * @param throttle - Gets the reports of the serving nodes.
 * @returns The forwarder.
 * @internal
 */
export function createForwarder(
  options: EntryOptions,
  throttle: Pick<EntryThrottle, 'recordAttempt'>,
): Forwarder {
  const { clock, costs, host, links, logger, metrics, refreshMember, retries, router } = options;
  const { callServer, pacer } = options;

  const send = async (
    member: Member,
    call: CallAttempt,
    costMilliseconds: number | undefined,
  ): Promise<AttemptResult> => {
    const sentMilliseconds = clock.monotonicMilliseconds();
    const result = await (member.host === host
      ? callServer.serve(call)
      : links.get(member.peerAddress).call(call));
    const { serviceMilliseconds } = result;
    if (serviceMilliseconds !== undefined) costs?.observeAnswer(call, serviceMilliseconds);
    router.report({
      host: member.host,
      service: call.service,
      outcome: reportOutcome(result.answer),
      latencyMilliseconds: clock.monotonicMilliseconds() - sentMilliseconds,
      transferredBytes: result.answer.kind === 'answer' ? result.answer.body.length : 0,
      load: result.load,
      serviceMilliseconds,
      costMilliseconds,
    });
    throttle.recordAttempt(call, result);
    const { answer } = result;
    if (answer.kind === 'refusal' && STALE_STATE_REASONS.has(answer.reason))
      refreshMember(member.host);
    return result;
  };

  const mayRetry = (entryCall: EntryCall, progress: CallProgress): boolean => {
    const { call, route } = entryCall;
    const { scope } = call;
    if (scope.cancelReason() !== undefined || progress.attempts() >= MAXIMUM_NODES) return false;
    if (scope.remainingMilliseconds() < MINIMUM_ATTEMPT_MILLISECONDS) return false;
    if (call.body.kind === 'stream') return false;
    if (progress.upstreamAttempts() === 0) return true;
    const isAllowed = progress.outcome() === 'not-run' || call.repeatable;
    return isAllowed && progress.upstreamAttempts() < route.maximumUpstreams;
  };

  const isRetryable = (answer: UpstreamResponse | Refusal, progress: CallProgress): boolean => {
    if (answer.kind === 'answer') return isServerError(answer.status);
    // Another node may still accept a call that is repeated only because its parent is.
    if (answer.reason === 'retry-budget') return progress.upstreamAttempts() === 0;
    return RETRYABLE_REASONS.has(answer.reason);
  };

  const spendRetry = ({ call, finishedSiblings }: EntryCall, progress: CallProgress): boolean => {
    // If no upstream has received the call, another attempt is no retry there.
    if (progress.upstreamAttempts() === 0) return true;
    const isSpent = retries.trySpend(call.service, { rank: call.rank, finishedSiblings });
    const reason = progress.outcome() === 'not-run' ? 'retried-not-run' : 'retried-repeatable';
    metrics.countRetry(isSpent ? reason : 'denied-service-ratio');
    return isSpent;
  };

  const forward = async (entryCall: EntryCall): Promise<ForwardResult> => {
    const { call } = entryCall;
    const { scope } = call;
    const progress = createCallProgress();
    let last: Refusal = refuse('no-upstream');
    if (!call.isRepeat) retries.countFirstAttempt(call.service);
    for (;;) {
      await pacer.waitIfLate();
      const reason = scope.cancelReason();
      if (reason !== undefined) return progress.finish(refuse(reason));
      const costMilliseconds = costs?.expected(call);
      const chosen = await router.choose({
        service: call.service,
        priority: priorityOfRank(call.rank),
        bodyBytes: undefined,
        excludedHosts: progress.excludedHosts,
        allowedRegions: entryCall.allowedRegions(),
        costMilliseconds,
      });
      if (!chosen.ok)
        return progress.finish(progress.attempts() > 0 ? last : refuse(chosen.error.kind));
      const member = chosen.value;
      progress.excludedHosts.add(member.host);
      const isRepeat = call.isRepeat || progress.upstreamAttempts() > 0;
      const attempt = { ...call, isRepeat, costMilliseconds: costMilliseconds || undefined };
      const result = await send(member, attempt, costMilliseconds);
      const { answer } = result;
      if (!isRetryable(answer, progress)) {
        if (answer.kind === 'refusal') {
          progress.recordAttempt(result, member);
          return progress.finish(answer, member);
        }
        progress.discardFailure();
        return { answer, attempts: progress.attempts() + 1, host: member.host };
      }
      progress.recordAttempt(result, member);
      if (answer.kind === 'refusal') last = answer;
      const isRepeated = mayRetry(entryCall, progress) && spendRetry(entryCall, progress);
      logger.log('attemptEnded', {
        requestId: call.requestId,
        service: call.service,
        host: member.host,
        incarnation: member.incarnation,
        status: answer.kind === 'answer' ? answer.status : undefined,
        reason: answer.kind === 'refusal' ? answer.reason : undefined,
        outcome: progress.outcome(),
        attempt: progress.attempts(),
        isRepeated,
      });
      if (!isRepeated) return progress.finish(last, member);
    }
  };

  return { forward };
}
