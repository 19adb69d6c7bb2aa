import type { Result } from '@buckthornslip/common';

import type { RateLimitSource } from '../limit/RateLimitSource';
import type { AdmissionLoad } from './AdmissionLoad';
import type { AdmissionRefusal } from './AdmissionRefusal';
import type { AdmissionRequest } from './AdmissionRequest';
import type { AdmissionPermit } from './AdmissionPermit';
import type { UpstreamCapacity } from './UpstreamCapacity';

/**
 * Decides which calls may run at the local upstream, and when.
 *
 * @public
 */
export interface AdmissionController {
  /**
   * Admits or refuses a call without waiting. Most calls take this path, which saves them the cost of an abort signal.
   *
   * @param request - The call.
   * @returns A permit or a refusal; undefined if the call has to wait for a slot.
   */
  readonly tryAdmit: (
    request: AdmissionRequest,
  ) => Result<AdmissionPermit, AdmissionRefusal> | undefined;

  /**
   * Admits a call, waiting for a slot if necessary.
   *
   * @param request - The call.
   * @param signal - Removes the call from the queue when aborted, for example because its caller disconnected.
   * @returns A permit or a refusal.
   */
  readonly admit: (
    request: AdmissionRequest,
    signal?: AbortSignal,
  ) => Promise<Result<AdmissionPermit, AdmissionRefusal>>;

  /** Applies the capacity announced by the upstream; the states `draining` and `left` refuse queued and new calls. */
  readonly setCapacity: (capacity: UpstreamCapacity) => void;

  /**
   * Limits the calls that start per second. The lowest limit of all sources applies.
   *
   * @param perSecond - Calls per second; undefined for no limit.
   * @param source - Why they are limited; by default because the upstream has stated how many it takes.
   */
  readonly setRateLimit: (perSecond: number | undefined, source?: RateLimitSource) => void;

  /**
   * Limits the calls that run at once, in addition to the announced slots.
   *
   * @param calls - Number of calls; Infinity for no limit.
   */
  readonly setMaximumRunning: (calls: number) => void;

  /** @returns Current load, as reported to callers with each answer. */
  readonly load: () => AdmissionLoad;
}
