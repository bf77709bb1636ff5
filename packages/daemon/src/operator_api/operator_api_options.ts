import type {Keeper, TargetRegistry} from '@papayarun/dispatch';
import type {Membership} from '@papayarun/membership';
import type {
  Clock,
  DataCentreId,
  EventLog,
  InstanceId,
  ReplicaSet,
} from '@papayarun/protocol';
import type {
  ControlCommand,
  ControlResult,
  ControlStore,
} from '@papayarun/releases';
import type {Metrics} from '../metrics/metrics.js';

/**
 * Components and instance operations that the operator API depends on.
 */
export interface OperatorApiOptions {
  readonly self: InstanceId;
  readonly dataCentre: DataCentreId;
  readonly clock: Clock;
  readonly log: EventLog;
  readonly store: ControlStore;
  readonly membership: Membership;
  readonly registry: TargetRegistry;
  readonly keeper: Keeper;
  readonly metrics: Metrics;
  readonly status: () => Readonly<Record<string, unknown>>;
  readonly propose: (command: ControlCommand) => Promise<ControlResult>;
  readonly formCluster: () => Promise<ReplicaSet>;
  readonly drain: () => void;
}
