/**
 * Computes the largest value that a majority of voters has reached.
 *
 * @param values - One value per voter.
 * @returns The value; -Infinity when there are no voters.
 * @throws Never.
 * @example
 * quorumValue([5, 3, 9]); // 5
 */
export function quorumValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(sorted.length / 2)] ?? -Infinity;
}
