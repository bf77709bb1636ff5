/**
 * How the runs on a target were lost.
 *
 * @description `restarted`: another incarnation answers. `refused`: nothing
 * listened at its address until their lease had expired. `silent`: it didn't
 * answer until then, so it may also have been cut off.
 */
export type TargetLoss = 'restarted' | 'refused' | 'silent';
