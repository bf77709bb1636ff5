import type {Clock} from '@papayarun/protocol';
import type {Gate} from '../gate/gate.js';

/**
 * Clock of a process that can be frozen: its sleeps end only while it runs.
 */
export class GatedClock implements Clock {
  private constructor(
    private readonly clock: Clock,
    private readonly gate: Gate,
  ) {}

  /**
   * Makes the clock of a process.
   *
   * @param clock - Time of all processes.
   * @param gate - Closed while the process is frozen.
   * @returns The clock.
   * @example
   * const clock = GatedClock.create(virtualClock, end.gate);
   */
  static create(clock: Clock, gate: Gate): GatedClock {
    return new GatedClock(clock, gate);
  }

  now(): number {
    return this.clock.now();
  }

  wallNow(): number {
    return this.clock.wallNow();
  }

  async sleep(ms: number, signal?: AbortSignal): Promise<void> {
    await this.clock.sleep(ms, signal);
    await this.gate.pass();
  }
}
