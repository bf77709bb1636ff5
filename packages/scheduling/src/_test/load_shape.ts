import type {LoadKind} from './load_kind.js';

/** Deployment and jobs of a replayed load. */
export interface LoadShape {
  readonly shards: number;
  readonly targetsEach: number;
  /** Number of shards that are asked, beside the first one, to split a job. */
  readonly otherQuotes: number;
  readonly stretch: number;
  readonly slackMs: number;
  /** Cores from which a task counts as large in the tallies. */
  readonly largeCores: number;
  readonly kinds: readonly LoadKind[];
  readonly targetOf: (
    shard: number,
    index: number,
  ) => {readonly cores: number; readonly slowness: number};
}
