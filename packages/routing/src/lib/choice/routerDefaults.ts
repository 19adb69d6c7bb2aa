import type { RouterSettings } from './RouterSettings';

/**
 * Values of {@link RouterSettings} that apply unless the caller of `createRouter` replaces them.
 *
 * @public
 */
export const routerDefaults: RouterSettings = {
  loadReportMaxAgeMilliseconds: 5_000,
  // Short: when every call is refused early, no answer brings a newer cut-off.
  cutoffMaxAgeMilliseconds: 250,
  // Other zones of the region are about a millisecond away, so calls move before queues form.
  zoneSpilloverThreshold: 0.8,
  // The link between regions is slow and billed, so a queue is accepted first.
  regionSpilloverThreshold: 1.5,
  slowStartMilliseconds: 10_000,
  slowStartShare: 0.1,
  ejectionFailureThreshold: 5,
  ejectionSilenceThreshold: 3,
  // Errors that follow good answers reach this share after seven in a row.
  ejectionErrorMargin: 0.5,
  baseEjectionMilliseconds: 5_000,
  maxEjectionMilliseconds: 60_000,
  memberListTimeoutMilliseconds: 1_000,
  undeclaredBodyBytes: 8_192,
};
