import type {Clock, EventLog, TargetId} from '@papayarun/protocol';
import {nextHealth} from '../target_health/next_health.js';
import type {TargetHealth} from '../target_health/target_health.js';
import {nextSlowness} from '../target_slowness/next_slowness.js';

/** Services that the condition of a target needs. */
interface ConditionHost {
  readonly clock: Pick<Clock, 'now'>;
  readonly log: EventLog;
}

/**
 * Health and slowness of a target, from the results of its runs.
 */
export class TargetCondition {
  private currentHealth: TargetHealth = {kind: 'sound'};
  private currentSlowness = 1;
  private doneMs = -Infinity;

  private constructor(
    private readonly host: ConditionHost,
    private readonly target: TargetId,
  ) {}

  /**
   * Creates the record of a sound target of usual speed.
   *
   * @param host - Clock and log.
   * @param target - The target, for the log.
   * @returns The record.
   * @example
   * const condition = TargetCondition.create(host, report.targetId);
   */
  static create(host: ConditionHost, target: TargetId): TargetCondition {
    return new TargetCondition(host, target);
  }

  get health(): TargetHealth {
    return this.currentHealth;
  }

  /** Factor of the run times on this target over those on a usual one. */
  get slowness(): number {
    return this.currentSlowness;
  }

  /** Monotonic time at which a run last completed, in milliseconds. */
  get lastDoneMs(): number {
    return this.doneMs;
  }

  /** Records that a run has completed now. */
  recordDone(): void {
    this.doneMs = this.host.clock.now();
  }

  /**
   * Updates the health and the slowness from the result of a run.
   *
   * @param event - How the run ended.
   * @param ratio - Its run time over the expected one; undefined if unknown.
   */
  recordRunResult(event: 'succeeded' | 'failed', ratio?: number): void {
    const before = this.currentHealth.kind;
    const {clock, log} = this.host;
    this.currentHealth = nextHealth(this.currentHealth, event, clock.now());
    if (ratio !== undefined) {
      this.currentSlowness = nextSlowness(this.currentSlowness, ratio);
    }
    if (before !== this.currentHealth.kind) {
      log.emit(
        this.currentHealth.kind === 'ejected' ? 'targetEjected' : 'targetTrust',
        {target: this.target, trust: this.currentHealth},
      );
    }
  }

  /** Ends an ejection whose time has passed; false if nothing has changed. */
  updateHealth(): boolean {
    const before = this.currentHealth;
    this.currentHealth = nextHealth(
      before,
      'timePassed',
      this.host.clock.now(),
    );
    return before !== this.currentHealth;
  }

  /** Continues with a new incarnation, of which nothing is known. */
  restart(): void {
    this.currentHealth = {kind: 'sound'};
    this.currentSlowness = 1;
  }
}
