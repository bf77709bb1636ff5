/**
 * A measured value and the limit that it has to meet.
 */
export interface Bound {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  readonly comparison: 'atMost' | 'atLeast';
}
