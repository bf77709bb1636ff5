/**
 * Whether a number of voters is a majority.
 *
 * @param count - Voters that agree.
 * @param voters - All voters.
 * @returns True for more than half.
 * @throws Never.
 * @example
 * isQuorum(2, 3); // true
 */
export function isQuorum(count: number, voters: number): boolean {
  return count * 2 > voters;
}
