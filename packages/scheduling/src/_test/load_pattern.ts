import type {LoadKind} from './load_kind.js';
import type {LoadOptions} from './load_options.js';
import type {LoadShape} from './load_shape.js';

/** Load that a replay plays, and who its callers are. */
export interface LoadPattern {
  readonly name: string;
  readonly shape: LoadShape;
  /** Least share of the bound that a replay has to earn. */
  readonly leastShare: number;
  readonly opts: LoadOptions;
  /** Rate of a kind in jobs a second, `atMs` from the start. */
  readonly rateOf: (kind: LoadKind, atMs: number) => number;
}
