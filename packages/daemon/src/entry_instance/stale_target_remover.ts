import type {Clock, EventLog, ShardId, TargetId} from '@papayarun/protocol';
import type {ControlClient} from '../control_client/control_client.js';
import type {LocalSchedulers} from './local_schedulers.js';

/** Interval of the checks, in milliseconds. */
const CHECK_INTERVAL_MS = 5_000;
/**
 * Time without a session after which a target no longer exists, in
 * milliseconds; many report periods of a target.
 */
const STALE_AFTER_MS = 30_000;

/**
 * Removes targets that no longer exist from the shards scheduled here, so that
 * they no longer count as part of their size.
 */
export class StaleTargetRemover {
  private readonly missingSinceMs = new Map<TargetId, number>();
  private readonly stopping = new AbortController();

  private constructor(
    private readonly opts: {
      readonly clock: Clock;
      readonly log: EventLog;
      readonly schedulers: Pick<LocalSchedulers, 'shards' | 'missingTargets'>;
      readonly control: () => Pick<ControlClient, 'propose'>;
    },
  ) {}

  /**
   * Creates a remover.
   *
   * @param opts - Clock, log, schedulers and client of the replicated log.
   * @returns The remover, not started.
   * @example
   * StaleTargetRemover.create(opts).start();
   */
  static create(opts: StaleTargetRemover['opts']): StaleTargetRemover {
    return new StaleTargetRemover(opts);
  }

  start(): void {
    void this.loop();
  }

  stop(): void {
    this.stopping.abort();
  }

  private async loop(): Promise<void> {
    const {signal} = this.stopping;
    while (!signal.aborted) {
      await this.opts.clock.sleep(CHECK_INTERVAL_MS, signal);
      await this.check();
    }
  }

  private async check(): Promise<void> {
    const {clock, schedulers} = this.opts;
    const nowMs = clock.now();
    const missing = new Set<TargetId>();
    for (const shard of schedulers.shards) {
      const stale: TargetId[] = [];
      for (const targetId of schedulers.missingTargets(shard)) {
        missing.add(targetId);
        const sinceMs = this.missingSinceMs.get(targetId) ?? nowMs;
        this.missingSinceMs.set(targetId, sinceMs);
        if (nowMs - sinceMs >= STALE_AFTER_MS) {
          stale.push(targetId);
        }
      }
      if (stale.length > 0) {
        await this.remove(shard, stale);
      }
    }
    for (const targetId of this.missingSinceMs.keys()) {
      if (!missing.has(targetId)) {
        this.missingSinceMs.delete(targetId);
      }
    }
  }

  private async remove(
    shard: ShardId,
    targetIds: readonly TargetId[],
  ): Promise<void> {
    const {control, log} = this.opts;
    const fields = {shard, targets: targetIds};
    try {
      await control().propose({kind: 'removeTargets', shard, targetIds});
      log.emit('targetsRemoved', fields);
    } catch (err) {
      log.emit('targetsRemoved', {...fields, err: (err as Error).message});
    }
  }
}
