import type {
  DataCentreId,
  InstanceId,
  KnownInstance,
  ShardId,
} from '@papayarun/protocol';
import {dataCentreOfShard, rendezvousOrder} from '@papayarun/protocol';
import type {ControlState} from '@papayarun/releases';
import {isEvacuated} from '@papayarun/releases';

/** Most shards of the own data centre whose schedulers are linked. */
const MAX_OWN_SHARDS = 4;
/** Most shards of each other data centre whose schedulers are linked. */
const MAX_REMOTE_SHARDS = 1;

type LinkedState = Pick<ControlState, 'schedulers' | 'evacuations'>;

/**
 * Selects the peers to which an entry instance keeps a link.
 *
 * @description All state instances, and the schedulers of some shards: each
 * instance selects others, so that all schedulers get about the same number of
 * links and this number doesn't grow with the number of instances.
 */
export class LinkPolicy {
  private selectedFrom: LinkedState | undefined;
  private selectedPeers: ReadonlySet<InstanceId> = new Set();

  private constructor(
    private readonly self: InstanceId,
    private readonly dataCentre: DataCentreId,
  ) {}

  /**
   * Creates a policy.
   *
   * @param self - Id of the entry instance.
   * @param dataCentre - Its data centre.
   * @returns The policy.
   * @example
   * const policy = LinkPolicy.create(self, dataCentre);
   */
  static create(self: InstanceId, dataCentre: DataCentreId): LinkPolicy {
    return new LinkPolicy(self, dataCentre);
  }

  /**
   * Whether to keep a link to a peer.
   *
   * @param peer - The peer.
   * @param state - Grants and evacuations in force.
   * @returns True if a link is wanted.
   */
  shouldLink(peer: KnownInstance, state: LinkedState): boolean {
    if (
      this.selectedFrom?.schedulers !== state.schedulers ||
      this.selectedFrom.evacuations !== state.evacuations
    ) {
      this.selectedFrom = state;
      this.selectedPeers = this.select(state);
    }
    return peer.role === 'state' || this.selectedPeers.has(peer.instanceId);
  }

  private select(state: LinkedState): Set<InstanceId> {
    const {schedulers} = state;
    const byDataCentre = new Map<DataCentreId, ShardId[]>();
    for (const shard of Object.keys(schedulers) as ShardId[]) {
      const dataCentre = dataCentreOfShard(shard);
      const shards = byDataCentre.get(dataCentre) ?? [];
      shards.push(shard);
      byDataCentre.set(dataCentre, shards);
    }
    const inService = [...byDataCentre.keys()].filter(
      dataCentre =>
        dataCentre !== this.dataCentre && !isEvacuated(state, dataCentre),
    );
    // The jobs of an evacuated data centre all go to the others.
    const maxRemoteShards = isEvacuated(state, this.dataCentre)
      ? Math.ceil(MAX_OWN_SHARDS / Math.max(1, inService.length))
      : MAX_REMOTE_SHARDS;
    const peers = new Set<InstanceId>();
    for (const [dataCentre, shards] of byDataCentre) {
      const isOwn = dataCentre === this.dataCentre;
      const most = isOwn ? MAX_OWN_SHARDS : maxRemoteShards;
      for (const shard of rendezvousOrder(this.self, shards).slice(0, most)) {
        peers.add(schedulers[shard]!.instanceId);
      }
    }
    return peers;
  }
}
