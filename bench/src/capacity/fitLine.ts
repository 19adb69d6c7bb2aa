/**
 * Line fitted to measurements.
 *
 * @internal
 */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  readonly rSquared: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - Size and value of each measurement.
 * @returns Fitted line; r squared is 0 if all values are equal.
 * @internal
 */
export function fitLine(points: readonly (readonly [number, number])[]): LinearFit {
  const mean = (pick: (point: readonly [number, number]) => number): number =>
    points.reduce((sum, point) => sum + pick(point), 0) / points.length;
  const meanSize = mean(([size]) => size);
  const meanValue = mean(([, value]) => value);
  const covariance = mean(([size, value]) => (size - meanSize) * (value - meanValue));
  const sizeVariance = mean(([size]) => (size - meanSize) ** 2);
  const valueVariance = mean(([, value]) => (value - meanValue) ** 2);
  const slope = covariance / sizeVariance;
  return {
    slope,
    intercept: meanValue - slope * meanSize,
    rSquared: valueVariance === 0 ? 0 : covariance ** 2 / (sizeVariance * valueVariance),
  };
}
