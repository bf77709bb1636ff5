import type {BootId, InstanceId} from '@papayarun/protocol';

/**
 * One incarnation of an instance in a claim view.
 */
export interface ViewMember {
  readonly instanceId: InstanceId;
  readonly boot: BootId;
}
