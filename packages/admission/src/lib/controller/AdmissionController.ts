import type { Result } from '@buckthornslip/common';

import type { AdmissionLoad } from './AdmissionLoad';
import type { AdmissionRefusal } from './AdmissionRefusal';
import type { AdmissionRequest } from './AdmissionRequest';
import type { AdmissionPermit } from './AdmissionPermit';
import type { UpstreamCapacity } from './UpstreamCapacity';

/**
 * Decides which calls run at the upstream beside this node, and when.
 *
 * @public
 */
export interface AdmissionController {
  /**
   * Decides without waiting, which spares most calls the cost of a signal.
   *
   * @param request - The call.
   * @returns A permit or a refusal; undefined if the call has to wait.
   */
  readonly tryAdmit: (
    request: AdmissionRequest,
  ) => Result<AdmissionPermit, AdmissionRefusal> | undefined;

  /**
   * Waits for a slot.
   *
   * @param request - The call.
   * @param signal - Takes the call out of the queue, for example when its caller leaves.
   * @returns A permit, or why the call is refused.
   */
  readonly admit: (
    request: AdmissionRequest,
    signal?: AbortSignal,
  ) => Promise<Result<AdmissionPermit, AdmissionRefusal>>;

  /** Sets what the upstream announced; state "draining" refuses all new calls. */
  readonly setCapacity: (capacity: UpstreamCapacity) => void;

  /** @returns Load figures for answers. */
  readonly load: () => AdmissionLoad;
}
