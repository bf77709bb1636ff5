/**
 * How waiting tasks get their targets.
 *
 * @description `firstFit`: each task takes a target that has room for it now.
 * `reserving`: the first task that finds no room reserves the target on which it
 * fits earliest, and less urgent ones use that target only if they don't delay it.
 */
export type Placement =
  {readonly kind: 'firstFit'} | {readonly kind: 'reserving'};
