import type { QueuedCall } from '../queue/QueuedCall';
import type { AdmissionRefusal } from './AdmissionRefusal';

/**
 * @param call - A call whose wait has ended.
 * @returns Whether the deadline or the queue's target ended it.
 * @internal
 */
export function refusalOfExpiredCall(call: QueuedCall): AdmissionRefusal {
  const isDeadlineFirst = call.latestStartMilliseconds <= call.expiresMilliseconds;
  return { kind: isDeadlineFirst ? 'deadline-unreachable' : 'queue-timeout' };
}
