/**
 * How waiting tasks get their targets.
 *
 * @description `firstFit`: each task takes a target that has room for it now.
 * `reserving`: the first tasks that find no room reserve the targets on which they
 * fit earliest, and tasks behind them use those targets only if they don't delay them.
 */
export type PlacementPolicy =
  {readonly kind: 'firstFit'} | {readonly kind: 'reserving'};
