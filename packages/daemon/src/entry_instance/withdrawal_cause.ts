/**
 * Why an instance no longer waits for a job at a scheduler.
 *
 * @description `notice`: it said so. `linkLost`: its link was lost or replaced.
 * `silent`: nothing was heard of it for too long.
 */
export type WithdrawalCause = 'notice' | 'linkLost' | 'silent';
