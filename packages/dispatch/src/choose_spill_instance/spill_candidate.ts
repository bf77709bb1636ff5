import type {InstanceId} from '@papayarun/protocol';

/**
 * Instance of another data centre to which work may spill.
 */
export interface SpillCandidate {
  readonly instanceId: InstanceId;
  /** Free slots of its data centre, less the work sent there since its report. */
  readonly free: number;
  /** Whether the link to it is open. */
  readonly isLinked: boolean;
}
