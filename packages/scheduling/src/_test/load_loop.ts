import type {VirtualClock} from '@papayarun/test_kit';

/** Event loop of a scheduler that handles one event after the other. */
export class LoadLoop {
  private freeAtMs = 0;

  constructor(
    private readonly clock: VirtualClock,
    private readonly eventMs: number,
  ) {}

  get lagMs(): number {
    return Math.max(0, this.freeAtMs - this.clock.now());
  }

  /** Resolves when the loop has handled an event that arrives now. */
  async handleEvent(): Promise<void> {
    const nowMs = this.clock.now();
    this.freeAtMs = Math.max(this.freeAtMs, nowMs) + this.eventMs;
    await this.clock.sleep(this.freeAtMs - nowMs);
  }
}
