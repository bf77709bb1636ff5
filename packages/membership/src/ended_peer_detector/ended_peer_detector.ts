import type {InstanceId} from '@papayarun/protocol';
import PQueue from 'p-queue';
import type {ProbeResult} from '../probe_address/probe_result.js';
import type {EndedPeerDetectorOptions} from './ended_peer_detector_options.js';

/** Number of refused connections in a row that show the end of a process. */
const REFUSALS = 2;
/** Delay between two connections, in milliseconds. */
const PROBE_DELAY_MS = 50;
/** Most peers that are probed at the same time. */
const MAX_CONCURRENT_CHECKS = 16;

/**
 * Finds out whether a peer whose link was lost has ended.
 *
 * @description The process has ended if nothing listens at its address any more:
 * two connections are refused, one after the other. A lost link alone may be due
 * to the network, and so may a connection that isn't answered; nothing is
 * concluded from either. A lost link costs at most three connections.
 */
export class EndedPeerDetector {
  private readonly checks = new PQueue({concurrency: MAX_CONCURRENT_CHECKS});
  private readonly peers = new Set<InstanceId>();
  private readonly stopping = new AbortController();

  private constructor(private readonly opts: EndedPeerDetectorOptions) {}

  /**
   * Creates a detector.
   *
   * @param opts - Clock, probe and callbacks.
   * @returns The detector.
   * @example
   * const detector = EndedPeerDetector.create(opts);
   * detector.check(peer);
   */
  static create(opts: EndedPeerDetectorOptions): EndedPeerDetector {
    return new EndedPeerDetector(opts);
  }

  /**
   * Checks a peer whose link was lost. Without effect if it isn't missing, or is
   * being checked already.
   *
   * @param peer - Id of the peer.
   */
  check(peer: InstanceId): void {
    if (this.isMissing(peer) && !this.peers.has(peer)) {
      this.peers.add(peer);
      void this.checks.add(() => this.checkNow(peer));
    }
  }

  /** Ends the checks in progress without a result. */
  stop(): void {
    this.stopping.abort();
    this.checks.clear();
  }

  private async checkNow(peer: InstanceId): Promise<void> {
    const probes: ProbeResult[] = [];
    while (this.isMissing(peer) && needsProbe(probes)) {
      probes.push(await this.opts.probe(peer));
      if (needsProbe(probes)) {
        await this.opts.clock.sleep(PROBE_DELAY_MS, this.stopping.signal);
      }
    }
    this.peers.delete(peer);
    if (!this.stopping.signal.aborted) {
      const hasEnded = this.isMissing(peer) && isEnd(probes);
      this.opts.onChecked(peer, hasEnded, probes);
    }
  }

  private isMissing(peer: InstanceId): boolean {
    return !this.stopping.signal.aborted && this.opts.isMissing(peer);
  }
}

/** Whether a peer has ended, by the results of its probes. */
function isEnd(probes: readonly ProbeResult[]): boolean {
  const results = decisiveOf(probes);
  return results.length === REFUSALS && results.every(isRefusal);
}

/** Whether another probe may show that a peer has ended. */
function needsProbe(probes: readonly ProbeResult[]): boolean {
  const results = decisiveOf(probes);
  return results.length < REFUSALS && results.every(isRefusal);
}

/**
 * Leaves out a first probe that was accepted: a process that is killed may close
 * its links before its listener.
 */
function decisiveOf(probes: readonly ProbeResult[]): readonly ProbeResult[] {
  return probes[0] === 'accepted' ? probes.slice(1) : probes;
}

function isRefusal(result: ProbeResult): boolean {
  return result === 'refused';
}
