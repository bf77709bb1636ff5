/**
 * Outcome of one request of a load.
 *
 * @description `notRun`: refused without being run. `late`: the deadline passed
 * while the request ran, so it may have taken effect.
 */
export type SendOutcome = 'answered' | 'notRun' | 'late' | 'failed';
