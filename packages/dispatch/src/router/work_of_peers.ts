import type {InstanceId} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import {CANCELLED} from './cancelled.js';

interface WorkOfPeer {
  readonly requestId: string;
  /** Number of the call at the peer; versions before it send none. */
  readonly dispatchNumber: number | undefined;
  readonly controller: AbortController;
}

/**
 * Work that this instance runs for others, with the means to cancel it.
 *
 * @description A peer may send several copies of a request at a time, for callers
 * that send it again. Each copy is counted and cancelled by itself.
 */
export class WorkOfPeers {
  private readonly workByPeer = new Map<InstanceId, Set<WorkOfPeer>>();

  private constructor() {}

  /**
   * Creates an empty set of work.
   *
   * @returns The set.
   * @example
   * const workOfPeers = WorkOfPeers.create();
   */
  static create(): WorkOfPeers {
    return new WorkOfPeers();
  }

  /** Number of pieces of work that run here for other instances. */
  get size(): number {
    return [...this.workByPeer.values()].reduce(
      (sum, work) => sum + work.size,
      0,
    );
  }

  /**
   * Runs a piece of work of a peer.
   *
   * @param peer - The peer.
   * @param requestId - Id of the request.
   * @param dispatchNumber - Number of the call at the peer, if it sent one.
   * @param run - Runs the work; its signal aborts when the work is cancelled.
   * @returns The result of `run`.
   */
  async run<T>(
    peer: InstanceId,
    requestId: string,
    dispatchNumber: number | undefined,
    run: (signal: AbortSignal) => Promise<T>,
  ): Promise<T> {
    const controller = new AbortController();
    const work: WorkOfPeer = {requestId, dispatchNumber, controller};
    const all = this.workByPeer.get(peer) ?? new Set();
    this.workByPeer.set(peer, all.add(work));
    try {
      return await run(controller.signal);
    } finally {
      all.delete(work);
    }
  }

  /**
   * Cancels a piece of work for which a peer no longer waits.
   *
   * @description Without the number of the call, several copies can't be told
   * apart; they run on, since a caller may still wait for one of them.
   * @param peer - The peer.
   * @param requestId - Id of the request.
   * @param dispatchNumber - Number of the call at the peer, if it sent one.
   */
  cancel(
    peer: InstanceId,
    requestId: string,
    dispatchNumber: number | undefined,
  ): void {
    const copies = [...(this.workByPeer.get(peer) ?? [])].filter(
      work =>
        work.requestId === requestId &&
        (dispatchNumber === undefined ||
          work.dispatchNumber === dispatchNumber),
    );
    if (copies.length === 1) {
      copies[0]!.controller.abort(CANCELLED);
    }
  }

  /** Cancels the work of a lost peer, which can no longer receive the answers. */
  cancelAllOf(peer: InstanceId): void {
    for (const {controller} of this.workByPeer.get(peer) ?? []) {
      controller.abort(
        DispatchError.notRun(
          'keeperLost',
          'the instance that forwarded the work was lost',
        ),
      );
    }
  }
}
