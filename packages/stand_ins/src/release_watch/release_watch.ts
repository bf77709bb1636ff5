import type {Cluster} from '../cluster/cluster.js';

const POLL_MS = 50;

/**
 * Watches the release that each instance serves, across its restarts.
 */
export class ReleaseWatch {
  /** Times an instance served a lower release than before. */
  readonly regressions: string[] = [];
  /** Times instances at one state index had different states. */
  readonly differences: string[] = [];
  private readonly highest = new Map<string, number>();
  private readonly digests = new Map<number, string>();
  private stopped = false;
  private running: Promise<void>;

  private constructor(private readonly cluster: Cluster) {
    this.running = this.loop();
  }

  /**
   * Begins to watch.
   *
   * @param cluster - The instances.
   * @returns The watch.
   * @example
   * const watch = ReleaseWatch.create(cluster);
   */
  static create(cluster: Cluster): ReleaseWatch {
    return new ReleaseWatch(cluster);
  }

  async stop(): Promise<void> {
    this.stopped = true;
    await this.running;
  }

  private async loop(): Promise<void> {
    while (!this.stopped) {
      await Promise.all(
        [...this.cluster.daemons.keys()].map(id => this.look(id)),
      );
      await new Promise(resolve => setTimeout(resolve, POLL_MS));
    }
  }

  private async look(id: string): Promise<void> {
    let status: Record<string, unknown>;
    try {
      status = await this.cluster.status(id);
    } catch {
      return;
    }
    this.checkDigest(id, status);
    if (status['state'] !== 'ready') {
      return;
    }
    const release = status['release'] as number;
    const before = this.highest.get(id) ?? 0;
    if (release < before) {
      this.regressions.push(`${id}: ${before} then ${release}`);
    }
    this.highest.set(id, Math.max(before, release));
  }

  private checkDigest(id: string, status: Record<string, unknown>): void {
    const index = status['stateIndex'] as number;
    const digest = status['stateDigest'] as string;
    const known = this.digests.get(index);
    if (known !== undefined && known !== digest) {
      this.differences.push(`${id} at ${index}`);
    }
    this.digests.set(index, digest);
  }
}
