import type {EventName} from './event_name.js';

/**
 * Sink for the log events of the catalogue.
 */
export interface EventLog {
  /** Writes an event with its fields. */
  emit(name: EventName, fields: Readonly<Record<string, unknown>>): void;
  /** Whether decision events are logged; if not, callers skip their fields. */
  readonly decisionsEnabled: boolean;
}
