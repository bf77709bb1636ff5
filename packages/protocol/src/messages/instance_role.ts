/**
 * What an instance does.
 *
 * @description `all`: everything. `entry`: callers, and a data centre's
 * scheduler while it holds the grant. `state`: the replicated log, operators
 * and announcements of targets.
 */
export type InstanceRole = 'all' | 'entry' | 'state';
