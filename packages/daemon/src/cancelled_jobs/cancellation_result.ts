/**
 * Result of the cancellation of a job.
 *
 * @description `cancelled`: it was in progress and starts no more. `notFound`: no
 * instance had it in progress, and none starts a copy that arrives later.
 * `unconfirmed`: an instance that may run has not confirmed, so the job may go on.
 */
export type CancellationResult = 'cancelled' | 'notFound' | 'unconfirmed';
