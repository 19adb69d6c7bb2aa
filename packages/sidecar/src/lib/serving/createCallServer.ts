import type { Readable } from 'node:stream';

import type {
  AdmissionController,
  AdmissionRequest,
  AdmissionPermit,
} from '@buckthornslip/admission';
import type { Refusal } from '@buckthornslip/calls';
import { forwardableHeaders, isServerError, refuse } from '@buckthornslip/calls';
import type { Clock, RefusalReason } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ServingGate } from '../evacuation/createServingGate';
import type { ConnectionPool } from '../http/ConnectionPool';
import { exchange } from '../http/exchange';
import type { ExchangeFailure, ExchangeResult } from '../http/ExchangeResult';
import { whenClosed } from '../http/whenClosed';
import { priorityOfRank } from '../policy/priorityOfRank';
import type { StopBound } from '../process/createStopBound';
import type { TurnPacer } from '../process/createTurnPacer';
import type { CallProtocol } from '../protocol/CallProtocol';
import { isNotRunStatus } from '../protocol/isNotRunStatus';
import type { ResponseHead } from '../protocol/ResponseHead';
import type { CallCosts } from './createCallCosts';
import type { NestedShares } from './createNestedShares';
import type { RepeatLimit } from './createRepeatLimit';
import { isSameStart } from './isSameStart';
import type { RunningCalls } from './createRunningCalls';
import type { StatedLimit } from './createStatedLimit';
import type { CallEnding, Suspects } from './createSuspects';
import type { AttemptResult, UpstreamResponse } from './AttemptResult';
import type { CallAttempt } from './CallAttempt';
import type { UpstreamRegistry, UpstreamView } from './UpstreamRegistry';

/** Dependencies of the call server. */
interface CallServerOptions {
  readonly clock: Clock;
  readonly admission: AdmissionController;
  readonly upstream: UpstreamRegistry;
  readonly gate: Pick<ServingGate, 'permission' | 'refusal' | 'whenKnown'>;
  readonly statedLimit: StatedLimit;
  /** @returns The connection pool of the upstream at an address. */
  readonly poolOf: (address: string) => ConnectionPool;
  readonly protocol: CallProtocol;
  readonly running: RunningCalls;
  readonly nestedShares: NestedShares;
  readonly repeats: RepeatLimit;
  readonly suspects: Pick<Suspects, 'check' | 'begin' | 'recordEnd'>;
  /** Costs of calls; undefined if calls are not placed by expected work. */
  readonly costs: CallCosts | undefined;
  /** Takes the speed of the upstream after each call. */
  readonly recordSpeed: (speed: number | undefined) => void;
  readonly pacer: Pick<TurnPacer, 'waitIfLate'>;
  /** Tells which calls end before this node, if it is stopping. */
  readonly stopBound: Pick<StopBound, 'mayFit' | 'observe'>;
  readonly logger: EventLogger;
}

/**
 * Runs attempts at the local upstream.
 *
 * @public
 */
export interface CallServer {
  readonly serve: (call: CallAttempt) => Promise<AttemptResult>;
}

/** Result of a call at the upstream. */
type ServedCall = Omit<AttemptResult, 'load'>;

type PermitOutcome = Parameters<AdmissionPermit['release']>[0];

/** Call depth that admission uses for every nested call; calls without a parent have depth 0. */
const NESTED_DEPTH = 1;

const failureReasons: Readonly<Record<ExchangeFailure, RefusalReason>> = {
  unconnected: 'upstream-failed',
  withheld: 'zone-evacuated',
  reset: 'upstream-failed',
  truncated: 'upstream-failed',
  foreign: 'upstream-failed',
  cancelled: 'caller-gone',
};

const failureEndings: Readonly<Record<ExchangeFailure, CallEnding>> = {
  unconnected: 'unsent',
  withheld: 'unsent',
  reset: 'lost',
  truncated: 'lost',
  foreign: 'abandoned',
  cancelled: 'abandoned',
};

/**
 * Longest time for which a call waits until the node knows whether its zone is evacuated, in milliseconds. At the start of a
 * fleet, the entry node may get the policy and the orders a little earlier than the serving node.
 */
const ORDERS_WAIT_MILLISECONDS = 300;

/** Failures that say nothing about the upstream. */
const UNTRIED_FAILURES: ReadonlySet<ExchangeFailure> = new Set(['cancelled', 'withheld']);

function isShed(answer: UpstreamResponse | Refusal): boolean {
  return answer.kind === 'refusal' && answer.reason === 'upstream-shed';
}

function hasFailed(answer: UpstreamResponse | Refusal): boolean {
  return answer.kind === 'refusal' || isServerError(answer.status);
}

function isWrongInstance(status: number): boolean {
  return status === 421;
}

/** @returns How a call ended whose response, if it has one, has been received as a whole. */
function endingOf(
  result: ExchangeResult,
  answer: UpstreamResponse | Refusal,
  head: ResponseHead | undefined,
): CallEnding {
  if (result.kind === 'failed') return result.sent ? failureEndings[result.failure] : 'unsent';
  if (isWrongInstance(result.response.statusCode as number)) return 'unsent';
  return answer.kind === 'answer' && head?.isSigned ? 'answered' : 'rejected';
}

/** @returns How a call ended whose response was streamed. */
function streamEndingOf(rest: Readable, { scope }: CallAttempt, whole: CallEnding): CallEnding {
  if (rest.readableEnded) return whole;
  return rest.errored && scope.cancelReason() === undefined ? 'lost' : 'abandoned';
}

/**
 * Creates the call server of a node. All calls to the upstream pass through it, so that one place controls admission.
 *
 * @param options - Dependencies, such as admission, the upstream registry and its connections.
 * @returns The call server of one upstream.
 * @public
 */
export function createCallServer(options: CallServerOptions): CallServer {
  const { admission, clock, logger, poolOf, protocol, running, statedLimit, upstream } = options;
  const { costs, gate, nestedShares, pacer, recordSpeed, repeats, stopBound, suspects } = options;

  const refuseByState = (
    call: CallAttempt,
    view: UpstreamView | undefined,
  ): Refusal | undefined => {
    if (view?.instance.service !== call.service) return refuse('no-upstream');
    if (view.state === 'lost') return refuse('no-upstream');
    return view.state === 'ready' ? gate.refusal() : refuse('upstream-draining');
  };

  /** Refuses a call that the end of this node would cut off; another node may still serve it. */
  const refuseByStop = ({ route, scope }: CallAttempt): Refusal | undefined => {
    const timeoutMilliseconds = scope.remainingMilliseconds();
    return stopBound.mayFit({ route, timeoutMilliseconds }) ? undefined : refuse('node-stopping');
  };

  const toResponse = (
    view: UpstreamView,
    result: Exclude<ExchangeResult, { kind: 'failed' }>,
    head: ResponseHead,
  ): UpstreamResponse | Refusal => {
    const { response } = result;
    const status = response.statusCode as number;
    const current = upstream.current()?.instance;
    const isCurrent = current !== undefined && isSameStart(current, view.instance);
    if (isCurrent && (head.isSigned || head.isNotRun)) {
      statedLimit.record(view.instance, head);
      if (head.isLeaving) upstream.markLeaving();
    }
    if (isWrongInstance(status)) {
      upstream.markLost();
      // Unlike a refusal of this node, it counts as an arrival at an upstream.
      return refuse('upstream-shed');
    }
    if (head.isNotRun) return refuse('upstream-shed');
    if (isNotRunStatus(status)) {
      logger.log('answerContradictory', {
        upstream: view.instance.id,
        requestId: head.requestId,
        status,
      });
      return refuse('upstream-failed', 'may-have-run');
    }
    if (status < 300 && !head.isSigned) {
      logger.log('answerUnsigned', {
        upstream: view.instance.id,
        requestId: head.requestId,
        status,
      });
      return refuse('upstream-failed', 'may-have-run');
    }
    return {
      kind: 'answer',
      status,
      headers: forwardableHeaders(response.rawHeaders),
      body: result.kind === 'whole' ? result.body : result.head,
      rest: result.kind === 'whole' ? undefined : result.rest,
    };
  };

  const toAnswer = (
    call: CallAttempt,
    view: UpstreamView,
    result: ExchangeResult,
    head: ResponseHead | undefined,
  ): UpstreamResponse | Refusal => {
    if (result.kind !== 'failed') {
      const answer = toResponse(view, result, head as ResponseHead);
      // The rest of a withheld answer is not read.
      if (answer.kind === 'refusal' && result.kind === 'stream') result.response.destroy();
      return answer;
    }
    const { failure, sent } = result;
    if (failure === 'unconnected') upstream.markLost();
    const reason = failure === 'cancelled' ? call.scope.cancelReason() : failureReasons[failure];
    return refuse(reason ?? 'caller-gone', sent ? 'may-have-run' : 'not-run');
  };

  const permitOutcome = (
    result: ExchangeResult,
    answer: UpstreamResponse | Refusal,
  ): PermitOutcome => {
    if (result.kind === 'failed') {
      return UNTRIED_FAILURES.has(result.failure) ? 'cancelled' : 'failed';
    }
    if (answer.kind === 'refusal') return answer.reason === 'upstream-shed' ? 'shed' : 'failed';
    return isServerError(answer.status) ? 'failed' : 'completed';
  };

  /** @returns Time of a completed call, with the time that the upstream waited for nested calls. */
  const observeTime = (
    call: CallAttempt,
    outcome: PermitOutcome,
    result: ExchangeResult,
    startedMilliseconds: number,
  ): number | undefined => {
    // A streamed response is still being received, at the pace of its reader.
    if (!costs || outcome !== 'completed' || result.kind !== 'whole') return undefined;
    const milliseconds = clock.monotonicMilliseconds() - startedMilliseconds;
    costs.observeLocal(call, milliseconds);
    return milliseconds;
  };

  const run = async (
    call: CallAttempt,
    view: UpstreamView,
    permit: AdmissionPermit,
  ): Promise<ServedCall> => {
    const remainingMilliseconds = Math.max(1, Math.floor(call.scope.remainingMilliseconds()));
    const { account, callerService, requestId } = call;
    const upstreamId = view.instance.id;
    const added = protocol.writeUpstreamHeaders({
      account,
      callerService,
      upstreamId,
      remainingMilliseconds,
    });
    const now = clock.monotonicMilliseconds();
    const tracked = running.add(call, now, now + remainingMilliseconds);
    const suspectable = suspects.begin(call, view.instance);
    const release = (error: unknown): never => {
      suspectable.end('abandoned');
      permit.release('failed');
      throw error;
    };
    let head: ResponseHead | undefined;
    const result = await exchange({
      pool: poolOf(view.instance.address),
      method: call.method,
      target: call.target,
      headers: [...call.headers, ...added],
      body: call.body,
      scope: call.scope,
      headBytes: call.answerWindowBytes,
      isExpectedResponse: (response) => {
        head = protocol.readResponse(response.headers);
        return head.requestId === requestId;
      },
      maySend: () => gate.refusal() === undefined,
      retiresConnection: () => head?.isNotRun === true,
    })
      .catch(release)
      .finally(tracked.end);
    const answer = toAnswer(call, view, result, head);
    const outcome = permitOutcome(result, answer);
    const serviceMilliseconds = observeTime(call, outcome, result, now);
    const ending = endingOf(result, answer, head);
    const rest = answer.kind === 'answer' ? answer.rest : undefined;
    const observeEnd = (): void => {
      if (outcome === 'completed')
        stopBound.observe(call.route, clock.monotonicMilliseconds() - now);
    };
    if (rest) {
      whenClosed(rest, () => {
        if (rest.readableEnded) observeEnd();
        suspectable.end(streamEndingOf(rest, call, ending));
        permit.release(outcome);
      });
    } else {
      observeEnd();
      suspectable.end(ending);
      permit.release(outcome);
    }
    if (result.kind !== 'failed' && isWrongInstance(result.response.statusCode as number)) {
      suspects.recordEnd(view.instance, 'wrong-instance');
    }
    if (answer.kind === 'refusal') {
      logger.log('attemptFailed', {
        requestId,
        upstream: upstreamId,
        sequence: view.instance.sequence,
        reason: answer.reason,
        outcome: answer.outcome,
        failure: result.kind === 'failed' ? result.failure : undefined,
      });
    }
    const isFailed = hasFailed(answer);
    const shed = isShed(answer) || (isFailed && tracked.hasShedCall());
    // A run that failed for both reasons counts as shed, because less load would not have let it pass.
    const isNestedRefused = isFailed && !shed && tracked.hasRefusedCall();
    // A run that its caller gave up says nothing about capacity, unless it had already been refused some.
    if (outcome !== 'cancelled' || isNestedRefused) {
      nestedShares.record({
        route: call.route,
        isParent: tracked.isParent(),
        isRefused: isNestedRefused,
      });
    }
    return { answer, isShed: shed, isNestedRefused, serviceMilliseconds };
  };

  /** Counts a call that is about to be sent to the upstream. */
  const refuseRepeat = ({
    isRepeat,
    rank,
    requestId,
    service,
  }: CallAttempt): Refusal | undefined => {
    if (!isRepeat) repeats.countFirstAttempt();
    else if (!repeats.tryRepeat()) {
      logger.log('repeatRefused', { requestId, rank, service });
      return refuse('retry-budget');
    }
    return undefined;
  };

  const admitQueued: (
    request: AdmissionRequest,
    call: CallAttempt,
  ) => ReturnType<AdmissionController['admit']> = async (request, { scope }) => {
    const admitted = await admission.admit(request, scope.signal);
    await pacer.waitIfLate();
    return admitted;
  };

  const admit = async (call: CallAttempt): Promise<ServedCall> => {
    if (gate.permission() === 'unknown') {
      await Promise.race([gate.whenKnown(), clock.sleep(ORDERS_WAIT_MILLISECONDS)]);
    }
    const refusal =
      refuseByState(call, upstream.current()) ?? refuseByStop(call) ?? suspects.check(call);
    if (refusal) return { answer: refusal };
    const request: AdmissionRequest = {
      account: call.chargedAccount,
      priority: priorityOfRank(call.rank),
      depth: call.isNested ? NESTED_DEPTH : 0,
      remainingMilliseconds: call.scope.remainingMilliseconds(),
      isolated: false,
      requestClass: call.route,
      // The entry node has seen responses of several upstreams, this node perhaps only those of its own.
      ...(costs && { costMilliseconds: call.costMilliseconds ?? costs.expected(call) }),
    };
    const admitted = admission.tryAdmit(request) ?? (await admitQueued(request, call));
    if (!admitted.ok) {
      const load = admission.load();
      const { requestId, rank } = call;
      const { kind: reason } = admitted.error;
      logger.log('admissionRefused', { requestId, rank, reason, ...load });
      // To the admission controller, the upstream of an evacuated zone is draining.
      const closed = reason === 'upstream-draining' ? gate.refusal() : undefined;
      return { answer: closed ?? refuse(reason) };
    }
    // The state may have changed while the call was queued.
    const view = upstream.current();
    const cancelled = call.scope.cancelReason();
    const lateRefusal =
      refuseByState(call, view) ??
      refuseByStop(call) ??
      (cancelled ? refuse(cancelled) : (suspects.check(call) ?? refuseRepeat(call)));
    if (lateRefusal) {
      admitted.value.release('cancelled');
      return { answer: lateRefusal };
    }
    return run(call, view as UpstreamView, admitted.value);
  };

  return {
    serve: async (call) => {
      const served = await admit(call);
      const load = admission.load();
      recordSpeed(load.speed);
      return { ...served, load, nestedShare: nestedShares.shareOf(call.route) };
    },
  };
}
