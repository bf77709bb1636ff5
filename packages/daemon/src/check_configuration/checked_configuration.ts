import type {ServiceId} from '@papayarun/protocol';
import type {WorkQueue} from '../work_queue/work_queue.js';

type OtherFields = Readonly<Record<string, unknown>>;

/**
 * Decoded configuration that may be invalid.
 *
 * @description A key with the value undefined stands for an invalid value, so that
 * the remaining fields can still be checked. `otherFields` are fields that are
 * stored but not used.
 */
export interface CheckedConfiguration {
  readonly revision?: number | undefined;
  readonly queues: ReadonlyArray<
    Partial<WorkQueue> & {readonly otherFields: OtherFields}
  >;
  readonly services: ReadonlyArray<{
    readonly name?: ServiceId | undefined;
    readonly otherFields: OtherFields;
  }>;
  /** Sizes in bytes, times in milliseconds. */
  readonly limits: {
    readonly maxBodyBytes?: number | undefined;
    readonly headersTimeoutMs?: number | undefined;
    readonly keepAliveTimeoutMs?: number | undefined;
    readonly otherFields: OtherFields;
  };
  readonly otherFields: OtherFields;
}
