import type { HostId, ServiceId } from '@buckthornslip/common';

import type { LoadReport } from './LoadReport';

/**
 * Outcome of one attempt, as seen by the entry node.
 *
 * @public
 */
export interface AttemptReport {
  readonly host: HostId;
  readonly service: ServiceId;
  /** `errored` if the upstream itself answered with an error, which may originate in a service that it calls. */
  readonly outcome: 'answered' | 'errored' | 'refused' | 'failed' | 'silent' | 'cancelled';
  /** Time from sending to the first byte of the answer, in milliseconds. */
  readonly latencyMilliseconds: number;
  /** Bytes sent and received, charged to the budget of the link between regions. */
  readonly transferredBytes: number;
  /** Load report carried by the answer, if any. */
  readonly load: LoadReport | undefined;
  /** Time that the upstream took, without the time in the queue, in milliseconds; undefined if it is not known. */
  readonly serviceMilliseconds?: number | undefined;
  /** The expected service time that the choice was made with, in milliseconds. */
  readonly costMilliseconds?: number | undefined;
}
