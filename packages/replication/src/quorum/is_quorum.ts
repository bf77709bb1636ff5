/**
 * Checks whether a number of voters is a majority.
 *
 * @param count - Number of voters that agree.
 * @param voterCount - Number of all voters.
 * @returns True for more than half.
 * @throws Never.
 * @example
 * isQuorum(2, 3); // true
 */
export function isQuorum(count: number, voterCount: number): boolean {
  return count * 2 > voterCount;
}
