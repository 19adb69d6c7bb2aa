import type { RouterSettings } from './RouterSettings';

/**
 * Default values of {@link RouterSettings}, which the options of `createRouter` can override.
 *
 * @public
 */
export const routerDefaults: RouterSettings = {
  loadReportMaxAgeMilliseconds: 5_000,
  // Short, because while every call is refused at the entry node, no answer carries a newer cutoff.
  cutoffMaxAgeMilliseconds: 250,
  // Other zones of the region are about a millisecond away, so calls spill over before queues form.
  zoneSpilloverThreshold: 0.8,
  // The link between regions is slow and billed, so some queueing is accepted first.
  regionSpilloverThreshold: 1.5,
  slowStartMilliseconds: 10_000,
  slowStartShare: 0.1,
  ejectionFailureThreshold: 5,
  ejectionTimeoutThreshold: 3,
  // A member that had answered without errors reaches this share after seven errors in a row.
  ejectionErrorMargin: 0.5,
  baseEjectionMilliseconds: 5_000,
  maximumEjectionMilliseconds: 60_000,
  memberListTimeoutMilliseconds: 1_000,
  undeclaredBodyBytes: 8_192,
};
