import type { AdmissionRefusal } from '@buckthornslip/admission';
import type { RefusalReason } from '@buckthornslip/common';

import type { CallAnswer } from '../http/CallAnswer';
import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import { dispatchToUpstream } from './dispatchToUpstream';
import type { ServingCall } from './ServingCall';
import type { ServingDependencies } from './ServingDependencies';

function stateRefusal(dependencies: ServingDependencies): Refusal | undefined {
  const state = dependencies.upstream.current()?.state;
  if (state === 'ready') return undefined;
  return refuse(state === 'draining' ? 'upstream-draining' : 'no-upstream');
}

function admissionReason(error: AdmissionRefusal, call: ServingCall): RefusalReason {
  return call.scope.cancelReason() ?? error.kind;
}

/**
 * Runs a call at the upstream once it is admitted.
 *
 * @param dependencies - Dependencies of the serving side.
 * @param call - The call.
 * @returns The upstream's response or a refusal.
 * @internal
 */
export async function runCall(
  dependencies: ServingDependencies,
  call: ServingCall,
): Promise<CallAnswer> {
  const { admission, suspects, upstream } = dependencies;
  const early = stateRefusal(dependencies);
  if (early !== undefined) return early;
  const suspicion = suspects.classify(call.fingerprint);
  if (suspicion === 'refused') return refuse('suspected-crash');
  const { account, depth, priority } = call.context;
  const isolated = suspicion === 'isolated';
  const remainingMilliseconds = call.scope.remainingMilliseconds();
  if (remainingMilliseconds <= 0) return refuse('deadline-exceeded');
  const request = { account, priority, depth, remainingMilliseconds, isolated };
  const admitted = await admission.admit(request, call.scope.signal);
  if (!admitted.ok) return refuse(admissionReason(admitted.error, call));
  const late = stateRefusal(dependencies);
  const pool = upstream.pool();
  const reason = call.scope.cancelReason();
  if (late !== undefined || pool === undefined || reason !== undefined) {
    admitted.value.release('cancelled');
    return reason === undefined ? (late ?? refuse('no-upstream')) : refuse(reason);
  }
  return dispatchToUpstream(dependencies, call, pool, admitted.value);
}
