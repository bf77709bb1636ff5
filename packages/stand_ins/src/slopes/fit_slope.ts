import type {Slope} from './slope.js';

/**
 * Fits a line by least squares.
 *
 * @param points - At least two points with different x.
 * @returns Slope, intercept and coefficient of determination.
 * @throws Never.
 * @example
 * fitSlope([{x: 1, y: 2}, {x: 2, y: 4}]).perUnit; // 2
 */
export function fitSlope(points: Slope['points']): Slope {
  const n = points.length;
  const meanX = points.reduce((sum, p) => sum + p.x, 0) / n;
  const meanY = points.reduce((sum, p) => sum + p.y, 0) / n;
  const sxx = points.reduce((sum, p) => sum + (p.x - meanX) ** 2, 0);
  const sxy = points.reduce((sum, p) => sum + (p.x - meanX) * (p.y - meanY), 0);
  const syy = points.reduce((sum, p) => sum + (p.y - meanY) ** 2, 0);
  const perUnit = sxy / sxx;
  return {
    perUnit,
    base: meanY - perUnit * meanX,
    r2: syy === 0 ? 1 : sxy ** 2 / (sxx * syy),
    points,
  };
}
