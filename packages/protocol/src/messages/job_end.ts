/**
 * How a job has ended for good: a copy of its request gets the same answer.
 */
export type JobEnd = 'completed' | 'failed';
