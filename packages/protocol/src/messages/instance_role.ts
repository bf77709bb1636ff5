/**
 * Role of an instance.
 *
 * @description `all`: all functions. `entry`: serves callers, and runs the
 * scheduler of its data centre while it holds the grant. `state`: runs the
 * replicated log, serves operators and receives the announcements of targets.
 */
export type InstanceRole = 'all' | 'entry' | 'state';
