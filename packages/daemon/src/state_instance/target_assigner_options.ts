import type {Membership} from '@papayarun/membership';
import type {
  Clock,
  EventLog,
  InstanceId,
  ShardId,
  TargetId,
} from '@papayarun/protocol';
import type {ControlStore} from '@papayarun/releases';
import type {ControlClient} from '../control_client/control_client.js';

/**
 * Options of a target assigner.
 */
export interface TargetAssignerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: Pick<ControlStore, 'state'>;
  readonly membership: Pick<Membership, 'livePeers'>;
  readonly self: InstanceId;
  /** State instances that may hold a replica of the log. */
  readonly stateInstances: () => readonly InstanceId[];
  readonly control: () => Pick<ControlClient, 'propose'>;
  /** Called when the log has assigned a target to a shard. */
  readonly onAssigned: (targetId: TargetId, shard: ShardId) => void;
}
