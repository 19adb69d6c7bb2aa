import type { SeriesResult } from './runSeries';

/**
 * Prints the points and the fits of a series.
 *
 * @param result - Measured series.
 * @internal
 */
export function printSeries(result: SeriesResult): void {
  const { fits, name, points, unit } = result;
  console.log(`\n${name} (sizes in ${unit})`);
  console.table(
    points.flatMap(({ size, usages }) =>
      Object.entries(usages).map(([role, usage]) => ({
        size,
        role,
        'CPU %': usage.cpuPercent.toFixed(2),
        'RSS MB': usage.residentMegabytes.toFixed(1),
        'anon MB': usage.anonymousMegabytes.toFixed(1),
        'peak MB': usage.peakMegabytes.toFixed(1),
        'PSS MB': usage.proportionalMegabytes.toFixed(1),
        'KB/s': usage.transferredKilobytesPerSecond.toFixed(1),
      })),
    ),
  );
  console.table(
    Object.entries(fits).flatMap(([role, figures]) =>
      Object.entries(figures).map(([figure, fit]) => ({
        role,
        figure,
        slope: fit.slope.toPrecision(4),
        intercept: fit.intercept.toPrecision(4),
        'r squared': fit.rSquared.toFixed(3),
      })),
    ),
  );
}
