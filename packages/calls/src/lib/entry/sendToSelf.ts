import { parseLoadHeader } from '../serving/parseLoadHeader';
import type { AttemptTarget, SendResult } from './AttemptTarget';
import type { ForwarderDependencies } from './ForwarderDependencies';
import type { RoutedCall } from './RoutedCall';

/**
 * Runs one attempt at this node's local upstream, without an HTTP hop to a peer.
 *
 * @param dependencies - Dependencies of the forwarder.
 * @param call - The call.
 * @param attempt - This node and the attempt's id.
 * @returns The result of the attempt.
 * @internal
 */
export async function sendToSelf(
  dependencies: ForwarderDependencies,
  call: RoutedCall,
  attempt: AttemptTarget,
): Promise<SendResult> {
  const { clock, router, serving } = dependencies;
  const startedAt = clock.monotonicMilliseconds();
  const { body, context, fingerprint, headers, method, route, scope, target } = call;
  const { attemptId, joinOnly, member } = attempt;
  const answer = await serving.serve({
    context,
    method,
    target,
    headers,
    body,
    scope,
    fingerprint,
    attemptId,
    joinOnly,
  });
  const latencyMilliseconds = clock.monotonicMilliseconds() - startedAt;
  const outcome = answer.kind === 'response' ? 'answered' : 'refused';
  const load = parseLoadHeader(answer.load);
  const { service } = route;
  const report = (): void =>
    router.report({
      host: member.host,
      service,
      outcome,
      latencyMilliseconds,
      transferredBytes: 0,
      load,
    });
  if (answer.kind === 'response' && !Buffer.isBuffer(answer.body))
    answer.body.once('close', report);
  else report();
  return { answer, lost: false, sent: true };
}
