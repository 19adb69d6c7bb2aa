import type {
  AdmissionController,
  AdmissionRequest,
  AdmissionPermit,
} from '@buckthornslip/admission';
import type { Refusal } from '@buckthornslip/calls';
import { forwardableHeaders, isServerError, refuse } from '@buckthornslip/calls';
import type { Clock, RefusalReason } from '@buckthornslip/common';
import type { EventLogger } from '@buckthornslip/telemetry';

import type { ConnectionAgent } from '../http/ConnectionAgent';
import { exchange } from '../http/exchange';
import type { ExchangeFailure, ExchangeResult } from '../http/ExchangeResult';
import { priorityOfLevel } from '../policy/priorityOfLevel';
import type { CallProtocol } from '../protocol/CallProtocol';
import type { RunningCalls } from './createRunningCalls';
import type { ServedAnswer, UpstreamAnswer } from './ServedAnswer';
import type { ServingCall } from './ServingCall';
import type { UpstreamRegistry, UpstreamView } from './UpstreamRegistry';

/** What serving works with. */
interface ServingOptions {
  readonly clock: Clock;
  readonly admission: AdmissionController;
  readonly upstream: UpstreamRegistry;
  /** @returns Connections to the upstream at an address. */
  readonly connect: (address: string) => ConnectionAgent;
  readonly protocol: CallProtocol;
  readonly running: RunningCalls;
  readonly logger: EventLogger;
}

/**
 * Runs attempts at the upstream beside this node.
 *
 * @public
 */
export interface Serving {
  readonly serve: (call: ServingCall) => Promise<ServedAnswer>;
}

type PermitOutcome = Parameters<AdmissionPermit['release']>[0];

/** Hops that count for a nested call; its root has none. */
const NESTED_DEPTH = 1;

const failureReasons: Readonly<Record<ExchangeFailure, RefusalReason>> = {
  unconnected: 'upstream-failed',
  reset: 'upstream-failed',
  truncated: 'upstream-failed',
  foreign: 'upstream-failed',
  cancelled: 'caller-gone',
};

function isWrongInstance(status: number): boolean {
  return status === 421;
}

/**
 * Creates the serving side of a node. It is the only way to the upstream, so that one place decides what may start.
 *
 * @param options - Admission, the upstream and its connections.
 * @returns Serving for one upstream.
 * @public
 */
export function createServing(options: ServingOptions): Serving {
  const { admission, clock, connect, logger, protocol, running, upstream } = options;

  const refuseByState = (
    call: ServingCall,
    view: UpstreamView | undefined,
  ): Refusal | undefined => {
    if (view?.instance.service !== call.service) return refuse('no-upstream');
    if (view.state === 'lost') return refuse('no-upstream');
    return view.state === 'ready' ? undefined : refuse('upstream-draining');
  };

  const readWhole = (
    view: UpstreamView,
    result: Exclude<ExchangeResult, { kind: 'failed' }>,
  ): UpstreamAnswer | Refusal => {
    const { response } = result;
    const status = response.statusCode as number;
    const head = protocol.readResponse(response.headers);
    if (isWrongInstance(status)) {
      upstream.noteLost();
      return refuse('upstream-draining');
    }
    if (head.isNotRun) return refuse('upstream-shed');
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
      rest: result.kind === 'whole' ? undefined : response,
    };
  };

  const readResult = (
    call: ServingCall,
    view: UpstreamView,
    result: ExchangeResult,
  ): UpstreamAnswer | Refusal => {
    if (result.kind !== 'failed') return readWhole(view, result);
    const { failure, sent } = result;
    if (failure === 'unconnected') upstream.noteLost();
    const reason = failure === 'cancelled' ? call.scope.cancelReason() : failureReasons[failure];
    return refuse(reason ?? 'caller-gone', sent ? 'may-have-run' : 'not-run');
  };

  const permitOutcome = (
    result: ExchangeResult,
    answer: UpstreamAnswer | Refusal,
  ): PermitOutcome => {
    if (result.kind === 'failed') return result.failure === 'cancelled' ? 'cancelled' : 'failed';
    if (answer.kind === 'refusal') return answer.reason === 'upstream-shed' ? 'shed' : 'failed';
    return isServerError(answer.status) ? 'failed' : 'completed';
  };

  const run = async (
    call: ServingCall,
    view: UpstreamView,
    permit: AdmissionPermit,
  ): Promise<UpstreamAnswer | Refusal> => {
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
    const endRunning = running.add(call, now, now + remainingMilliseconds);
    const result = await exchange({
      agent: connect(view.instance.address),
      method: call.method,
      target: call.target,
      headers: [...call.headers, ...added],
      body: call.body,
      scope: call.scope,
      isExpectedResponse: (response) =>
        protocol.readResponse(response.headers).requestId === requestId,
    });
    endRunning();
    const answer = readResult(call, view, result);
    const outcome = permitOutcome(result, answer);
    if (answer.kind === 'answer' && answer.rest)
      answer.rest.once('close', () => permit.release(outcome));
    else permit.release(outcome);
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
    return answer;
  };

  const admit = async (call: ServingCall): Promise<UpstreamAnswer | Refusal> => {
    const refusal = refuseByState(call, upstream.current());
    if (refusal) return refusal;
    const request: AdmissionRequest = {
      account: call.payer,
      priority: priorityOfLevel(call.rank),
      depth: call.isNested ? NESTED_DEPTH : 0,
      remainingMilliseconds: call.scope.remainingMilliseconds(),
      isolated: false,
      requestClass: call.route,
    };
    const admitted =
      admission.tryAdmit(request) ?? (await admission.admit(request, call.scope.signal));
    if (!admitted.ok) {
      const load = admission.load();
      const { requestId, rank } = call;
      const { kind: reason } = admitted.error;
      logger.log('admissionRefused', { requestId, rank, reason, ...load });
      return refuse(reason);
    }
    // The state may have changed while the call waited.
    const view = upstream.current();
    const late = refuseByState(call, view);
    const cancelled = call.scope.cancelReason();
    if (late ?? cancelled) {
      admitted.value.release('cancelled');
      return late ?? refuse(cancelled as RefusalReason);
    }
    return run(call, view as UpstreamView, admitted.value);
  };

  return {
    serve: async (call) => {
      const answer = await admit(call);
      return { answer, load: admission.load() };
    },
  };
}
