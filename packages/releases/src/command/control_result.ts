import type {ShardId, TargetId} from '@papayarun/protocol';
import type {SchedulerGrant} from '../scheduler_grant/scheduler_grant.js';
import type {ClaimView} from '../claim_view/claim_view.js';
import type {NoteVerdict} from '../note/note_verdict.js';

/**
 * Result of a command of the replicated log.
 */
export type ControlResult =
  | {readonly kind: 'note'; readonly verdict: NoteVerdict}
  | {
      readonly kind: 'view';
      readonly accepted: boolean;
      readonly view: ClaimView | undefined;
    }
  | {readonly kind: 'preferences'; readonly unknown: readonly string[]}
  | {
      readonly kind: 'configuration';
      readonly changed: boolean;
      /** Revision in force after the command. */
      readonly revision: number;
    }
  | {
      readonly kind: 'grant';
      readonly accepted: boolean;
      readonly grant: SchedulerGrant | undefined;
    }
  | {
      readonly kind: 'targets';
      /** Shards of the targets that the command named and that have one. */
      readonly shards: Readonly<Record<TargetId, ShardId>>;
    }
  | {
      readonly kind: 'evacuation';
      /** False if another order was made since the one that it replaces. */
      readonly accepted: boolean;
      /** Serial number of the order in force; 0 if there was none. */
      readonly serial: number;
    };
