import type { AttemptTarget, SendResult } from './AttemptTarget';
import type { ForwarderDependencies } from './ForwarderDependencies';
import type { RoutedCall } from './RoutedCall';

/** Maximum number of resends of one attempt. They do not run the call again, so no retry budget is charged. */
const MAXIMUM_RESUMES = 3;

/** Delay before the first resend, in milliseconds. It doubles with each further one. */
const RESUME_DELAY_MILLISECONDS = 50;

/**
 * Sends a non-repeatable attempt, and resends it to the same serving node process if the connection fails.
 *
 * @param dependencies - Dependencies of the forwarder.
 * @param call - The call.
 * @param attempt - The attempt.
 * @param send - Sends the attempt once.
 * @returns The result of the last send.
 * @internal
 */
export async function resumeAttempt(
  dependencies: ForwarderDependencies,
  call: RoutedCall,
  attempt: AttemptTarget,
  send: (attempt: AttemptTarget) => Promise<SendResult>,
): Promise<SendResult> {
  let result = await send(attempt);
  let { sent } = result;
  for (let resumes = 0; resumes < MAXIMUM_RESUMES && result.lost; resumes += 1) {
    await dependencies.clock.sleep(RESUME_DELAY_MILLISECONDS * 2 ** resumes, call.scope.signal);
    if (call.scope.cancelReason() !== undefined) break;
    dependencies.metrics.countRetry('resumed-attempt');
    // A streamed body cannot be sent again once its first byte was sent, but the serving node may have received all
    // of it.
    const joinOnly = sent && call.body.kind === 'stream';
    result = await send({ ...attempt, joinOnly });
    sent ||= result.sent;
  }
  return { ...result, sent };
}
