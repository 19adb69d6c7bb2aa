import type { RouterSettings } from './RouterSettings';

/**
 * Values of {@link RouterSettings} that apply unless the caller of `createRouter` replaces them.
 *
 * @public
 */
export const routerDefaults: RouterSettings = {
  loadTrustMilliseconds: 5_000,
  // Short: when every call is refused early, no answer brings a newer cut-off.
  cutoffTrustMilliseconds: 250,
  // Other zones of the region are about a millisecond away, so calls move before queues form.
  zoneSaturation: 0.8,
  // The link between regions is slow and billed, so a queue is accepted first.
  regionSaturation: 1.5,
  slowStartMilliseconds: 10_000,
  slowStartShare: 0.1,
  ejectionFailures: 5,
  ejectionSilences: 3,
  // Errors that follow good answers reach this share after seven in a row.
  ejectionErrorMargin: 0.5,
  ejectionMilliseconds: 5_000,
  ejectionLimitMilliseconds: 60_000,
  firstRosterMilliseconds: 1_000,
  undeclaredBytes: 8_192,
};
