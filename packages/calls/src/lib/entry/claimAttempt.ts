import type { AttemptId, Result } from '@buckthornslip/common';
import { createUuid, failure, isSameNode, success } from '@buckthornslip/common';
import type { Member } from '@buckthornslip/membership';

import type { Refusal } from '../http/Refusal';
import { refuse } from '../http/refuse';
import type { ClaimRefusal } from '../idempotency/ClaimRefusal';
import type { AttemptTarget } from './AttemptTarget';
import type { ForwarderDependencies } from './ForwarderDependencies';
import type { RoutedCall } from './RoutedCall';

/** Timeout for claiming an idempotency key at its registry, in milliseconds. */
const CLAIM_MILLISECONDS = 1_000;

function claimRefusal(error: ClaimRefusal): Refusal {
  return refuse(error.kind, error.kind === 'outcome-unknown' ? 'may-have-run' : 'not-run');
}

function reportUnused(dependencies: ForwarderDependencies, call: RoutedCall, member: Member): void {
  dependencies.router.report({
    host: member.host,
    service: call.route.service,
    outcome: 'cancelled',
    latencyMilliseconds: 0,
    transferredBytes: 0,
    load: undefined,
  });
}

/**
 * Claims the idempotency key of a non-repeatable call for one attempt at one serving node process.
 *
 * @param dependencies - Dependencies of the forwarder.
 * @param call - The call.
 * @param chosen - Serving node chosen by the router.
 * @returns The attempt to send. If the key was already bound, it goes to the serving node of that binding.
 * @internal
 */
export async function claimAttempt(
  dependencies: ForwarderDependencies,
  call: RoutedCall,
  chosen: Member,
): Promise<Result<AttemptTarget, Refusal>> {
  // A UUIDv7: the serving node derives the attempt's age from it.
  const attemptId = createUuid(dependencies.clock) as AttemptId;
  const { requestDigest, route, scope, scopedKey } = call;
  if (scopedKey === undefined) return success({ member: chosen, attemptId, joinOnly: false });
  const { host, incarnation } = chosen;
  const timeout = Math.min(CLAIM_MILLISECONDS, scope.remainingMilliseconds());
  const request = { service: route.service, scopedKey, requestDigest, attemptId };
  const claimed = await dependencies.idempotency.claim(
    { ...request, servingNode: { host, incarnation } },
    timeout,
  );
  if (!claimed.ok) {
    reportUnused(dependencies, call, chosen);
    return failure(claimRefusal(claimed.error));
  }
  const claim = claimed.value;
  if (isSameNode(claim.servingNode, chosen)) {
    return success({ member: chosen, attemptId: claim.attemptId, joinOnly: false });
  }
  reportUnused(dependencies, call, chosen);
  const bound = dependencies.membership.findHost(claim.servingNode.host);
  if (bound === undefined || !isSameNode(bound, claim.servingNode)) {
    return failure(refuse('outcome-unknown', 'may-have-run'));
  }
  return success({ member: bound, attemptId: claim.attemptId, joinOnly: false });
}
