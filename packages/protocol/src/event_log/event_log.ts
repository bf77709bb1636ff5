import type {EventName} from './event_name.js';

/**
 * Sink of numbered log events.
 */
export interface EventLog {
  /** Writes an event with its fields. */
  emit(name: EventName, fields: Readonly<Record<string, unknown>>): void;
  /** Whether decisions are logged, so that their fields are worth building. */
  readonly decisions: boolean;
}
