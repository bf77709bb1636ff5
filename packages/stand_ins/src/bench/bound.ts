/**
 * A measured value and the bound that the target sets for it.
 */
export interface Bound {
  readonly name: string;
  readonly value: number;
  readonly limit: number;
  readonly is: 'atMost' | 'atLeast';
}
