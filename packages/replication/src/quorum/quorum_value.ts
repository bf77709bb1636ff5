/**
 * Largest value that a majority has reached.
 *
 * @param values - One value a voter.
 * @returns The value; minus infinity without voters.
 * @throws Never.
 * @example
 * quorumValue([5, 3, 9]); // 5
 */
export function quorumValue(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => b - a);
  return sorted[Math.floor(sorted.length / 2)] ?? -Infinity;
}
