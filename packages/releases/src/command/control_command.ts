import type {
  BootId,
  DataCentreId,
  InstanceId,
  ShardId,
  TargetId,
} from '@papayarun/protocol';
import type {ViewMember} from '../claim_view/view_member.js';
import type {ReleaseNote} from '../note/release_note.js';

/**
 * A command of the replicated log.
 */
export type ControlCommand =
  | {
      readonly kind: 'applyNote';
      readonly note: ReleaseNote;
      readonly fingerprint: string;
      readonly atMs: number;
    }
  | {
      readonly kind: 'setView';
      readonly dataCentre: DataCentreId;
      readonly fromEpoch: number;
      readonly members: readonly ViewMember[];
      /**
       * Justification for a view without a current member: the new incarnations
       * of all old members, or the request of an operator.
       */
      readonly reset?: {
        readonly replaced: readonly ViewMember[];
        readonly byOperator: boolean;
      };
    }
  | {
      readonly kind: 'setPreferences';
      readonly customer: string;
      /** Chosen value by behaviour name; null removes the choice. */
      readonly choices: Readonly<Record<string, unknown>>;
    }
  | {
      /** Sets a whole configuration, used instead of release notes. */
      readonly kind: 'applyConfiguration';
      readonly revision: number;
      readonly content: unknown;
    }
  | {
      readonly kind: 'grantScheduler';
      /**
       * Shard to schedule. The field bears the name that it had before data
       * centres were divided into shards.
       */
      readonly dataCentre: ShardId;
      /** Token of the grant that this one replaces; 0 for none. */
      readonly fromToken: number;
      readonly instanceId: InstanceId;
      readonly boot: BootId;
    }
  | {
      /** Assigns targets without a shard to the smallest shards. */
      readonly kind: 'assignTargets';
      readonly dataCentre: DataCentreId;
      readonly targetIds: readonly TargetId[];
      /** Size above which a shard gets no more targets. */
      readonly maxTargetsPerShard: number;
    }
  | {
      /** Removes targets that no longer exist from their shard. */
      readonly kind: 'removeTargets';
      readonly shard: ShardId;
      readonly targetIds: readonly TargetId[];
    }
  | {
      /** Evacuates a data centre, or takes it back. */
      readonly kind: 'setEvacuation';
      readonly dataCentre: DataCentreId;
      readonly isEvacuated: boolean;
      /** Serial number of the order that this one replaces; 0 for none. */
      readonly fromSerial: number;
      readonly atMs: number;
    };
