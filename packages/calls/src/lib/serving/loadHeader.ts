import type { AdmissionLoad } from '@buckthornslip/admission';

/**
 * @param load - Load of the upstream.
 * @returns Value of the load header: running calls, queued calls, concurrency limit and cutoff rank.
 * @internal
 */
export function loadHeader(load: AdmissionLoad): string {
  return `${load.running},${load.queued},${load.limit},${load.cutoffRank}`;
}
