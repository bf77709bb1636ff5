import type {Cluster} from '../cluster/cluster.js';

/** Interval between two status polls of all instances. */
const POLL_INTERVAL_MS = 50;

/**
 * Polls the instances and records violations of release monotonicity and of
 * state equality, also across restarts of an instance.
 */
export class ReleaseWatch {
  /** Cases in which an instance served a lower release than before. */
  readonly regressions: string[] = [];
  /** Cases in which different states were seen at the same state index. */
  readonly stateMismatches: string[] = [];
  /** Highest release served, by instance. */
  private readonly highestReleases = new Map<string, number>();
  private readonly digestsByStateIndex = new Map<number, string>();
  private stopped = false;
  private pollLoop: Promise<void>;

  private constructor(private readonly cluster: Cluster) {
    this.pollLoop = this.pollUntilStopped();
  }

  /**
   * Starts polling.
   *
   * @param cluster - Cluster whose instances are polled.
   * @returns The watch.
   * @example
   * const watch = ReleaseWatch.create(cluster);
   */
  static create(cluster: Cluster): ReleaseWatch {
    return new ReleaseWatch(cluster);
  }

  /** Stops polling and waits for the current poll. */
  async stop(): Promise<void> {
    this.stopped = true;
    await this.pollLoop;
  }

  private async pollUntilStopped(): Promise<void> {
    while (!this.stopped) {
      await Promise.all(
        [...this.cluster.daemons.keys()].map(id => this.checkInstance(id)),
      );
      await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    }
  }

  private async checkInstance(id: string): Promise<void> {
    let status: Record<string, unknown>;
    try {
      status = await this.cluster.fetchStatus(id);
    } catch {
      return;
    }
    this.checkDigest(id, status);
    if (status['state'] !== 'ready') {
      return;
    }
    const release = status['release'] as number;
    const highestRelease = this.highestReleases.get(id) ?? 0;
    if (release < highestRelease) {
      this.regressions.push(
        `${id}: served release ${highestRelease} then ${release}`,
      );
    }
    this.highestReleases.set(id, Math.max(highestRelease, release));
  }

  private checkDigest(id: string, status: Record<string, unknown>): void {
    const stateIndex = status['stateIndex'] as number;
    const digest = status['stateDigest'] as string;
    const knownDigest = this.digestsByStateIndex.get(stateIndex);
    if (knownDigest !== undefined && knownDigest !== digest) {
      this.stateMismatches.push(
        `${id} has a different state digest at state index ${stateIndex}`,
      );
    }
    this.digestsByStateIndex.set(stateIndex, digest);
  }
}
