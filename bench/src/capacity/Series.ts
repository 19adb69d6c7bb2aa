import type { ResourceUsage } from './ResourceUsage';

/**
 * Measurements of one kind at several sizes.
 *
 * @internal
 */
export interface Series {
  readonly name: string;
  /** What the size counts. */
  readonly unit: string;
  readonly sizes: readonly number[];
  /** Measures one size; the result is by the role of the measured process. */
  readonly measure: (
    size: number,
    plan: MeasurementPlan,
  ) => Promise<Readonly<Record<string, ResourceUsage>>>;
}

/**
 * How long measurements take.
 *
 * @internal
 */
export interface MeasurementPlan {
  readonly settleMilliseconds: number;
  readonly runs: number;
  readonly runMilliseconds: number;
}
