import type {LoadKind} from './load_kind.js';
import type {LoadOptions} from './load_options.js';
import type {LoadShape} from './load_shape.js';

/** Load that a replay plays, and who its callers are. */
export interface LoadPattern {
  readonly name: string;
  readonly shape: LoadShape;
  readonly opts: LoadOptions;
  /** Rate of a kind in jobs a second, `atMs` from the start. */
  readonly rateOf: (kind: LoadKind, atMs: number) => number;
}
