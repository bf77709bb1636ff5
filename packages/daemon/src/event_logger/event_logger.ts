import type {EventLog, EventName} from '@papayarun/protocol';
import {EVENT_CATALOGUE} from '@papayarun/protocol';
import type Logger from 'bunyan';
import bunyan from 'bunyan';

/**
 * Writes numbered events as JSON lines to standard output.
 */
export class EventLogger implements EventLog {
  private constructor(
    private readonly logger: Logger,
    public decisions: boolean,
  ) {}

  /**
   * Makes the logger of an instance.
   *
   * @param fields - Fields of every line.
   * @param level - Lowest level that is written.
   * @param decisions - Whether routing and placement decisions are written.
   * @param output - Where the lines go; standard output if absent.
   * @returns The logger.
   * @example
   * const log = EventLogger.create({instance: 'centro-1'}, 'info', true);
   */
  static create(
    fields: Readonly<Record<string, string>>,
    level: bunyan.LogLevelString,
    decisions: boolean,
    output?: {write(line: string): void},
  ): EventLogger {
    const logger = bunyan.createLogger({
      name: 'papayarund',
      ...(output
        ? {
            streams: [
              {level, stream: output as unknown as NodeJS.WritableStream},
            ],
          }
        : {level}),
      ...fields,
    });
    return new EventLogger(logger, decisions);
  }

  /** Changes what is written, after the settings were read again. */
  configure(level: bunyan.LogLevelString, decisions: boolean): void {
    this.logger.level(level);
    this.decisions = decisions;
  }

  emit(name: EventName, fields: Readonly<Record<string, unknown>>): void {
    const {number, level, text} = EVENT_CATALOGUE[name];
    this.logger[level]({event: number, eventName: name, ...fields}, text);
  }
}
