import type {EventLog, EventName} from '@papayarun/protocol';
import {EVENT_CATALOGUE} from '@papayarun/protocol';
import type Logger from 'bunyan';
import bunyan from 'bunyan';
import {formatLine} from './format_line.js';

/**
 * Event log that writes the events of the catalogue as JSON lines, by default to
 * standard output.
 */
export class EventLogger implements EventLog {
  private constructor(
    private readonly logger: Logger,
    public decisionsEnabled: boolean,
  ) {}

  /**
   * Creates the logger of an instance.
   *
   * @param fields - Fields added to every line.
   * @param level - Minimum level of events that are written.
   * @param decisions - Whether routing and placement decisions are written.
   * @param output - Destination of the lines; standard output by default.
   * @returns The logger.
   * @example
   * const log = EventLogger.create({instance: 'centro-1'}, 'info', true);
   */
  static create(
    fields: Readonly<Record<string, string>>,
    level: bunyan.LogLevelString,
    decisions: boolean,
    output: {write(line: string): void} = process.stdout,
  ): EventLogger {
    const logger = bunyan.createLogger({
      name: 'papayarund',
      streams: [
        {
          level,
          type: 'raw',
          stream: {
            write: (record: Record<string, unknown>) =>
              output.write(formatLine(record)),
          } as unknown as NodeJS.WritableStream,
        },
      ],
      ...fields,
    });
    return new EventLogger(logger, decisions);
  }

  /** Applies a new minimum level and decision logging after a settings reload. */
  configure(level: bunyan.LogLevelString, decisions: boolean): void {
    this.logger.level(level);
    this.decisionsEnabled = decisions;
  }

  emit(name: EventName, fields: Readonly<Record<string, unknown>>): void {
    const {number, level, text} = EVENT_CATALOGUE[name];
    this.logger[level]({event: number, eventName: name, ...fields}, text);
  }
}
