import type { QueuedCall } from '../queue/QueuedCall';
import type { AdmissionRefusal } from './AdmissionRefusal';

/**
 * @param call - A call that expired in the queue.
 * @returns `deadline-unreachable` if the call can no longer meet its deadline, `queue-timeout` if it reached the queue
 *   target first.
 * @internal
 */
export function refusalOfExpiredCall(call: QueuedCall): AdmissionRefusal {
  const isDeadlineFirst = call.latestStartMilliseconds <= call.expiresMilliseconds;
  return { kind: isDeadlineFirst ? 'deadline-unreachable' : 'queue-timeout' };
}
