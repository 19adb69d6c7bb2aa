import type { AttemptTarget, SendResult } from './AttemptTarget';
import type { ForwarderDependencies } from './ForwarderDependencies';
import type { RoutedCall } from './RoutedCall';

/** Sendings of one attempt after its first. They do not run the work again, so that no retry budget pays for them. */
const MAXIMUM_RESUMES = 3;

/** Pause before each resume, in milliseconds. */
const RESUME_DELAY_MILLISECONDS = 50;

/**
 * Sends a non-repeatable attempt, and asks the same serving node process for it again after a lost connection.
 *
 * @param dependencies - Collaborators.
 * @param call - The call.
 * @param attempt - The attempt.
 * @param send - Sends once.
 * @returns What came of it.
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
    // A streamed body is gone once its first byte was sent; the serving node may still have received all of it.
    const joinOnly = sent && call.body.kind === 'stream';
    result = await send({ ...attempt, joinOnly });
    sent ||= result.sent;
  }
  return { ...result, sent };
}
