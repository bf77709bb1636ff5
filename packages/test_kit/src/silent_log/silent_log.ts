import type {EventLog, EventName} from '@papayarun/protocol';

/**
 * Event log that stores the emitted events in memory for assertions in tests.
 */
export class SilentLog implements EventLog {
  readonly decisionsEnabled = false;
  readonly events: Array<{
    readonly name: EventName;
    readonly fields: Readonly<Record<string, unknown>>;
  }> = [];

  private constructor() {}

  /**
   * Creates an empty log.
   *
   * @returns The log.
   * @example
   * const log = SilentLog.create();
   */
  static create(): SilentLog {
    return new SilentLog();
  }

  emit(name: EventName, fields: Readonly<Record<string, unknown>>): void {
    this.events.push({name, fields});
  }

  /** Number of emitted events with a name. */
  count(name: EventName): number {
    return this.events.filter(event => event.name === name).length;
  }
}
