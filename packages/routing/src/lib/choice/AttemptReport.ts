import type { HostId, ServiceId } from '@buckthornslip/common';

import type { LoadReport } from './LoadReport';

/**
 * What an entry node learnt from one attempt.
 *
 * @public
 */
export interface AttemptReport {
  readonly host: HostId;
  readonly service: ServiceId;
  /** "errored" if the upstream itself answered with a failure, which may be that of a service it calls. */
  readonly outcome: 'answered' | 'errored' | 'refused' | 'failed' | 'silent' | 'cancelled';
  /** Time from sending to the first byte of the answer, in milliseconds. */
  readonly latencyMilliseconds: number;
  /** Bytes sent and received, for the budget of the link between regions. */
  readonly transferredBytes: number;
  /** Load carried on the answer. */
  readonly load: LoadReport | undefined;
}
