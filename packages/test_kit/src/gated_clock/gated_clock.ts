import type {Clock} from '@papayarun/protocol';
import type {Gate} from '../gate/gate.js';

/**
 * Clock of a process that can be frozen: a sleep resolves only while the gate
 * is open.
 */
export class GatedClock implements Clock {
  private constructor(
    private readonly clock: Clock,
    private readonly gate: Gate,
  ) {}

  /**
   * Creates the clock of a process.
   *
   * @param clock - Clock shared by all processes.
   * @param gate - Gate that is closed while the process is frozen.
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
