import type { LinearFit } from './fitLine';
import { fitLine } from './fitLine';
import type { MeasurementPlan, Series } from './Series';
import type { ResourceUsage } from './ResourceUsage';

/**
 * Measurements of a series with fitted lines.
 *
 * @internal
 */
export interface SeriesResult {
  readonly name: string;
  readonly unit: string;
  readonly points: readonly {
    readonly size: number;
    readonly usages: Readonly<Record<string, ResourceUsage>>;
  }[];
  /** Fitted lines by role and metric. */
  readonly fits: Readonly<Record<string, Readonly<Record<string, LinearFit>>>>;
}

/**
 * Measures all sizes of a series and fits a line to each metric.
 *
 * @param series - Series to measure.
 * @param sizes - Sizes to measure instead of the default ones.
 * @param plan - Number and duration of the runs.
 * @returns Measurements and fitted lines.
 * @internal
 */
export async function runSeries(
  series: Series,
  sizes: readonly number[] | undefined,
  plan: MeasurementPlan,
): Promise<SeriesResult> {
  const points: SeriesResult['points'][number][] = [];
  for (const size of sizes ?? series.sizes) {
    points.push({ size, usages: await series.measure(size, plan) });
  }
  const roles = Object.keys(points[0]?.usages ?? {});
  const metrics = Object.keys(
    Object.values(points[0]?.usages ?? {})[0] ?? {},
  ) as (keyof ResourceUsage)[];
  const fitOf = (role: string, metric: keyof ResourceUsage): LinearFit =>
    fitLine(points.map(({ size, usages }) => [size, usages[role]?.[metric] ?? Number.NaN]));
  const fitsOf = (role: string): Readonly<Record<string, LinearFit>> =>
    Object.fromEntries(metrics.map((metric) => [metric, fitOf(role, metric)]));
  return {
    name: series.name,
    unit: series.unit,
    points,
    fits: Object.fromEntries(roles.map((role) => [role, fitsOf(role)])),
  };
}
