import type {DataCentreId, ShardId, TargetId} from '@papayarun/protocol';
import type {AcceptedConfiguration} from '../configuration/accepted_configuration.js';
import type {Evacuation} from '../evacuation/evacuation.js';
import type {SchedulerGrant} from '../scheduler_grant/scheduler_grant.js';
import type {ClaimView} from '../claim_view/claim_view.js';
import type {NoteVerdict} from '../note/note_verdict.js';
import type {AcceptedNote} from './accepted_note.js';
import type {ReleaseEntry} from './release_entry.js';

/**
 * State that results from the commands of the replicated log. It is equal on
 * all instances at the same index.
 */
export interface ControlState {
  /** Number of the latest release. */
  readonly release: number;
  /** Entries in force by name. */
  readonly entries: Readonly<Record<string, ReleaseEntry>>;
  /** Release that withdrew a name, for names that are not in force. */
  readonly tombstones: Readonly<Record<string, number>>;
  /** Latest verdicts on release notes, the oldest first. */
  readonly verdicts: ReadonlyArray<{
    readonly noteId: string;
    readonly fingerprint: string;
    readonly verdict: NoteVerdict;
  }>;
  /** Latest accepted notes, the oldest first. */
  readonly history: readonly AcceptedNote[];
  /** Claim views by data centre. */
  readonly views: Readonly<Record<string, ClaimView>>;
  /** Choices by customer, then by behaviour name. */
  readonly customers: Readonly<
    Record<string, Readonly<Record<string, ReleaseEntry>>>
  >;
  /** Whole configuration in force, if operators send whole configurations. */
  readonly configuration?: AcceptedConfiguration;
  /** Scheduler grants in force by shard. */
  readonly schedulers: Readonly<Record<ShardId, SchedulerGrant>>;
  /** Shard of each target; a target stays in its shard until it is removed. */
  readonly targetShards: Readonly<Record<TargetId, ShardId>>;
  /** Highest fencing token that was ever granted. */
  readonly lastToken: number;
  /** Latest order on the evacuation of each data centre that had one. */
  readonly evacuations: Readonly<Record<DataCentreId, Evacuation>>;
}
