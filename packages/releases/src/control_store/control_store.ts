import type {PullStateCall} from '@papayarun/protocol';
import {decodeMessage, encodeMessage} from '@papayarun/protocol';
import {applyCommand} from '../apply_command/apply_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlResult} from '../command/control_result.js';
import type {ControlState} from '../control_state/control_state.js';
import {EMPTY_CONTROL_STATE} from '../control_state/empty_control_state.js';

/** Commands kept for peers that are a little behind. */
const TAIL_LENGTH = 1_024;

interface IndexedCommand {
  readonly index: number;
  readonly command: Uint8Array;
}

/**
 * The control state of an instance; it only ever moves forward.
 */
export class ControlStore {
  private current = EMPTY_CONTROL_STATE;
  private appliedIndex = 0;
  private tail: IndexedCommand[] = [];
  /** Index after which the tail is complete. */
  private tailAfter = 0;
  private readonly listeners: Array<
    (before: ControlState, after: ControlState) => void
  > = [];

  private constructor() {}

  /**
   * Makes a store without state.
   *
   * @returns The store.
   * @example
   * const store = ControlStore.create();
   */
  static create(): ControlStore {
    return new ControlStore();
  }

  get state(): ControlState {
    return this.current;
  }

  /** Index of the last command that was applied. */
  get index(): number {
    return this.appliedIndex;
  }

  /** Calls back after each change. */
  onChange(
    listener: (before: ControlState, after: ControlState) => void,
  ): void {
    this.listeners.push(listener);
  }

  /**
   * Applies a committed command; one that was applied already changes nothing.
   *
   * @param index - Its index; rises from one command to the next.
   * @param bytes - Encoded command; empty to move the index alone.
   * @returns Encoded result.
   */
  apply(index: number, bytes: Uint8Array): Uint8Array {
    if (index <= this.appliedIndex) {
      return new Uint8Array();
    }
    const applied =
      bytes.length > 0 &&
      applyCommand(this.current, decodeMessage(bytes) as ControlCommand);
    this.tail.push({index, command: bytes});
    if (this.tail.length > 2 * TAIL_LENGTH) {
      const dropped = this.tail.splice(0, this.tail.length - TAIL_LENGTH);
      this.tailAfter = dropped.at(-1)!.index;
    }
    this.advance(index, applied ? applied.state : this.current);
    return applied
      ? encodeMessage(applied.result satisfies ControlResult)
      : bytes;
  }

  /** Takes a whole state, unless it is older than the present one. */
  restore(index: number, bytes: Uint8Array): void {
    if (index <= this.appliedIndex) {
      return;
    }
    this.tail = [];
    this.tailAfter = index;
    // A snapshot of an earlier version lacks what was added since.
    this.advance(index, {
      ...EMPTY_CONTROL_STATE,
      ...(decodeMessage(bytes) as ControlState),
    });
  }

  serialize(): Uint8Array {
    return encodeMessage(this.current);
  }

  /** What a peer at an index lacks: commands if they are still held, else all. */
  after(index: number): PullStateCall['res'] {
    if (index >= this.tailAfter) {
      return {
        kind: 'commands',
        commands: this.tail.filter(c => c.index > index),
      };
    }
    return {
      kind: 'snapshot',
      index: this.appliedIndex,
      state: this.serialize(),
    };
  }

  private advance(index: number, state: ControlState): void {
    const before = this.current;
    this.appliedIndex = index;
    this.current = state;
    for (const listener of this.listeners) {
      listener(before, state);
    }
  }
}
