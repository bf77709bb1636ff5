import type {Clock, DataCentreId, EventLog} from '@papayarun/protocol';
import type {ControlState} from '@papayarun/releases';
import type {
  EvacuationPhase,
  EvacuationTiming,
  KnownEvacuation,
} from '@papayarun/scheduling';
import {currentEvacuationPhase} from '@papayarun/scheduling';

/** Share of the time for an evacuation in which jobs that have begun may go on. */
const GRACE_SHARE = 0.5;
/** Time in which the targets of a data centre are taken back, in milliseconds. */
const RETURN_MS = 2_000;

/**
 * Options of an evacuation tracker.
 */
export interface EvacuationTrackerOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  /**
   * Time within which nothing is started any more in an evacuated data centre, in
   * milliseconds; absent where evacuations are not enabled.
   */
  readonly evacuationMs: number | undefined;
}

/** Latest order on a data centre, as this instance learned of it. */
interface TrackedEvacuation extends KnownEvacuation {
  readonly serial: number;
  readonly atMs: number;
}

/**
 * Follows the evacuations of data centres in the control state of an instance.
 */
export class EvacuationTracker {
  private readonly tracked = new Map<DataCentreId, TrackedEvacuation>();
  private appliedEvacuations: ControlState['evacuations'] | undefined;
  private readonly timing: EvacuationTiming;

  private constructor(private readonly opts: EvacuationTrackerOptions) {
    this.timing = {
      graceMs: GRACE_SHARE * (opts.evacuationMs ?? 0),
      returnMs: RETURN_MS,
    };
  }

  /**
   * Creates a tracker that knows of no evacuation.
   *
   * @param opts - Clock, log and timing.
   * @returns The tracker.
   * @example
   * const evacuations = EvacuationTracker.create(opts);
   */
  static create(opts: EvacuationTrackerOptions): EvacuationTracker {
    return new EvacuationTracker(opts);
  }

  /**
   * Records the orders in a control state, and logs those that are new.
   *
   * @description An order that was withdrawn before this instance learned of it
   * counts as none, so that targets that were in use aren't taken back by degrees.
   * Orders in the first control state were given before this instance started or had
   * any shard, so the time since then counts towards the grace period. Only wall
   * clocks tell that time; one that is behind leaves more of the period.
   * @param state - Control state.
   * @returns Data centres whose evacuation has just become known.
   */
  update({evacuations}: Pick<ControlState, 'evacuations'>): DataCentreId[] {
    if (this.appliedEvacuations === evacuations) {
      return [];
    }
    const isFirst = this.appliedEvacuations === undefined;
    this.appliedEvacuations = evacuations;
    const evacuated: DataCentreId[] = [];
    for (const [id, evacuation] of Object.entries(evacuations)) {
      const dataCentre = id as DataCentreId;
      const {serial, isEvacuated, atMs} = evacuation;
      const known = this.tracked.get(dataCentre);
      const wasEvacuated = known?.isEvacuated ?? false;
      if (known?.serial === serial || !(wasEvacuated || isEvacuated)) {
        continue;
      }
      const {clock, log} = this.opts;
      // An order that was withdrawn and given again unseen leaves no new grace period.
      const learnedMs =
        wasEvacuated && isEvacuated
          ? known!.learnedMs
          : clock.now() - (isFirst ? this.ageMs(atMs) : 0);
      this.tracked.set(dataCentre, {serial, isEvacuated, atMs, learnedMs});
      if (isEvacuated) {
        if (!wasEvacuated) {
          evacuated.push(dataCentre);
        }
        const ageMs = this.ageMs(atMs);
        log.emit('evacuationInForce', {evacuated: dataCentre, serial, ageMs});
      } else {
        log.emit('evacuationWithdrawn', {withdrawn: dataCentre, serial});
      }
    }
    return evacuated;
  }

  /** What may be started on the targets of a data centre. */
  phaseOf(dataCentre: DataCentreId): EvacuationPhase {
    const known = this.tracked.get(dataCentre);
    return currentEvacuationPhase(known, this.timing, this.opts.clock.now());
  }

  /** Whether an order to evacuate a data centre is known here. */
  isEvacuated(dataCentre: DataCentreId): boolean {
    return this.tracked.get(dataCentre)?.isEvacuated ?? false;
  }

  /** Values of the gauges to export as metrics. */
  gauges(): Record<string, number> {
    const evacuated = [...this.tracked.values()].filter(e => e.isEvacuated);
    return {
      evacuated_data_centres: evacuated.length,
      oldest_evacuation_ms: Math.max(
        0,
        ...evacuated.map(({atMs}) => this.ageMs(atMs)),
      ),
    };
  }

  /** Age of an order by the wall clock, which may differ between instances. */
  private ageMs(atMs: number): number {
    return Math.max(0, Math.round(this.opts.clock.wallNow() - atMs));
  }
}
