import type {PullStateCall} from '@papayarun/protocol';
import {decodeMessage, encodeMessage} from '@papayarun/protocol';
import {applyCommand} from '../apply_command/apply_command.js';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlResult} from '../command/control_result.js';
import type {ControlState} from '../control_state/control_state.js';
import {EMPTY_CONTROL_STATE} from '../control_state/empty_control_state.js';

/**
 * Number of latest commands kept for peers that are slightly behind. Older ones
 * are dropped when there are more than twice as many, or too many bytes.
 */
const TAIL_LENGTH = 1_024;
/**
 * Bytes of commands kept for peers. A peer that lacks more gets a snapshot, so
 * that its answer fits into a frame.
 */
const MAX_TAIL_BYTES = 4 * 1024 * 1024;

interface IndexedCommand {
  readonly index: number;
  readonly command: Uint8Array;
}

/**
 * Control state of an instance. Its index never decreases.
 */
export class ControlStore {
  private current = EMPTY_CONTROL_STATE;
  private appliedIndex = 0;
  private tail: IndexedCommand[] = [];
  private tailBytes = 0;
  /** The tail has every command after this index. */
  private tailStartsAfter = 0;
  private readonly listeners: Array<
    (before: ControlState, after: ControlState) => void
  > = [];

  private constructor() {}

  /**
   * Creates a store with the empty control state.
   *
   * @returns The store.
   * @example
   * const store = ControlStore.create();
   */
  static create(): ControlStore {
    return new ControlStore();
  }

  /** Control state after the last applied command. */
  get state(): ControlState {
    return this.current;
  }

  /** Index of the last applied command. */
  get index(): number {
    return this.appliedIndex;
  }

  /** Adds a listener that is called after each change of the state or index. */
  onChange(
    listener: (before: ControlState, after: ControlState) => void,
  ): void {
    this.listeners.push(listener);
  }

  /**
   * Applies a committed command. A command at or below the current index has no
   * effect.
   *
   * @param index - Index of the command; increases from command to command.
   * @param bytes - Encoded command; empty to advance the index only.
   * @returns Encoded result; empty if no command was applied.
   */
  apply(index: number, bytes: Uint8Array): Uint8Array {
    if (index <= this.appliedIndex) {
      return new Uint8Array();
    }
    const applied =
      bytes.length > 0 &&
      applyCommand(this.current, decodeMessage(bytes) as ControlCommand);
    this.tail.push({index, command: bytes});
    this.tailBytes += bytes.byteLength;
    if (this.tail.length > 2 * TAIL_LENGTH) {
      this.dropFromTail(this.tail.length - TAIL_LENGTH);
    }
    while (this.tailBytes > MAX_TAIL_BYTES && this.tail.length > 1) {
      this.dropFromTail(1);
    }
    this.advance(index, applied ? applied.state : this.current);
    return applied
      ? encodeMessage(applied.result satisfies ControlResult)
      : bytes;
  }

  /**
   * Problem of a command that could not be applied to the current state.
   *
   * @param bytes - Encoded command.
   * @returns The problem; undefined if there is none.
   */
  problemOf(bytes: Uint8Array): string | undefined {
    try {
      const command = decodeMessage(bytes) as ControlCommand;
      const {state} = applyCommand(this.current, command);
      return state === undefined ? 'its kind is unknown' : undefined;
    } catch (err) {
      return (err as Error).message;
    }
  }

  /** Replaces the state by a snapshot, if the snapshot has a higher index. */
  restore(index: number, bytes: Uint8Array): void {
    if (index <= this.appliedIndex) {
      return;
    }
    this.tail = [];
    this.tailBytes = 0;
    this.tailStartsAfter = index;
    // A snapshot written by an earlier version lacks fields that were added later.
    this.advance(index, {
      ...EMPTY_CONTROL_STATE,
      ...(decodeMessage(bytes) as ControlState),
    });
  }

  /** Encodes the state as a snapshot. */
  serialize(): Uint8Array {
    return encodeMessage(this.current);
  }

  /**
   * Changes after an index, for a peer that is at that index: the commands if
   * the tail still has them, else a snapshot.
   */
  after(index: number): PullStateCall['res'] {
    if (index >= this.tailStartsAfter) {
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

  private dropFromTail(count: number): void {
    const dropped = this.tail.splice(0, count);
    for (const {command} of dropped) {
      this.tailBytes -= command.byteLength;
    }
    this.tailStartsAfter = dropped.at(-1)!.index;
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
