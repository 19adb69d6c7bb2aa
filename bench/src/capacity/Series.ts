import type { ResourceUsage } from './ResourceUsage';

/**
 * Series of measurements that vary one size.
 *
 * @internal
 */
export interface Series {
  readonly name: string;
  /** Unit of the sizes. */
  readonly unit: string;
  readonly sizes: readonly number[];
  /** Measures one size. The result is by role of the measured process. */
  readonly measure: (
    size: number,
    plan: MeasurementPlan,
  ) => Promise<Readonly<Record<string, ResourceUsage>>>;
}

/**
 * Number and duration of the runs of a measurement.
 *
 * @internal
 */
export interface MeasurementPlan {
  /** Time between the last change and the first run. */
  readonly settleMilliseconds: number;
  readonly runs: number;
  readonly runMilliseconds: number;
}
