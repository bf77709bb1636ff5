import type {
  BootId,
  DataCentreId,
  InstanceId,
  NoteId,
} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {ControlCommand} from '../command/control_command.js';
import type {ControlState} from '../control_state/control_state.js';
import {EMPTY_CONTROL_STATE} from '../control_state/empty_control_state.js';
import {isEvacuated} from '../is_evacuated/is_evacuated.js';
import type {NoteVerdict} from '../note/note_verdict.js';
import type {ReleaseNote} from '../note/release_note.js';
import {resolveBehaviours} from '../resolve_behaviours/resolve_behaviours.js';
import {applyCommand} from './apply_command.js';

/** Number of latest verdicts that the state keeps. */
const MAX_VERDICTS = 10_000;
const CENTRO = 'centro' as DataCentreId;

function noteCommand(
  noteId: string,
  base: number,
  changes: Partial<ReleaseNote>,
): ControlCommand {
  const note: ReleaseNote = {
    noteId: noteId as NoteId,
    base,
    added: {},
    changed: {},
    withdrawn: [],
    ...changes,
  };
  return {kind: 'applyNote', note, fingerprint: JSON.stringify(note), atMs: 0};
}

function applyNoteCommand(
  state: ControlState,
  command: ControlCommand,
): {state: ControlState; verdict: NoteVerdict} {
  const applied = applyCommand(state, command);
  if (applied.result.kind !== 'note') {
    throw new Error(applied.result.kind);
  }
  return {state: applied.state, verdict: applied.result.verdict};
}

function viewMember(
  instanceId: string,
  boot: string,
): {instanceId: InstanceId; boot: BootId} {
  return {instanceId: instanceId as InstanceId, boot: boot as BootId};
}

describe('applyCommand with release notes', () => {
  it('accepts exactly one of several notes with the same base', () => {
    const names = ['a', 'b', 'c'];
    let state = EMPTY_CONTROL_STATE;
    const verdicts = names.map(name => {
      const applied = applyNoteCommand(
        state,
        noteCommand(name, 0, {added: {[`behaviour:${name}`]: 1}}),
      );
      state = applied.state;
      return applied.verdict.kind;
    });
    expect(verdicts).toEqual(['accepted', 'conflict', 'conflict']);
    expect(state.release).toBe(1);
  });

  it('gives a note that is sent again its first verdict, whatever notes came between', () => {
    const ids = fc.array(fc.constantFrom('a', 'b', 'c', 'd'), {
      minLength: 1,
      maxLength: 30,
    });
    fc.assert(
      fc.property(
        ids,
        fc.array(fc.nat(4), {minLength: 30, maxLength: 30}),
        (order, bases) => {
          const first = new Map<string, {base: number; verdict: NoteVerdict}>();
          let state = EMPTY_CONTROL_STATE;
          order.forEach((id, i) => {
            const base = first.get(id)?.base ?? bases[i]!;
            const command = noteCommand(id, base, {
              added: {[`behaviour:x${id}`]: order.indexOf(id)},
            });
            const before = state.release;
            const applied = applyNoteCommand(state, command);
            state = applied.state;
            expect(state.release).toBeGreaterThanOrEqual(before);
            const known = first.get(id);
            if (known) {
              expect(applied.verdict).toEqual(known.verdict);
              expect(state.release).toBe(before);
            }
            first.set(id, known ?? {base, verdict: applied.verdict});
          });
        },
      ),
      {seed: 12},
    );
  });

  it('gives an accepted note its verdict also after many rejected ones', () => {
    const accepted = noteCommand('a', 0, {added: {'behaviour:x': 1}});
    let {state} = applyNoteCommand(EMPTY_CONTROL_STATE, accepted);
    for (let n = 0; n < MAX_VERDICTS; n++) {
      ({state} = applyNoteCommand(state, noteCommand(`late-${n}`, 0, {})));
    }
    for (let n = 0; n < 2; n++) {
      const again = applyNoteCommand(state, accepted);
      expect(again.verdict).toEqual({kind: 'accepted', release: 1});
      state = again.state;
    }
    const other = noteCommand('a', 1, {added: {'behaviour:y': 1}});
    expect(applyNoteCommand(state, other).verdict.kind).toBe('conflict');
    expect(state.release).toBe(1);
  });

  it('rejects a note id that was already used for different content', () => {
    const {state} = applyNoteCommand(
      EMPTY_CONTROL_STATE,
      noteCommand('a', 0, {added: {'behaviour:x': 1}}),
    );
    const again = applyNoteCommand(
      state,
      noteCommand('a', 1, {added: {'behaviour:y': 1}}),
    );
    expect(again.verdict).toMatchObject({kind: 'conflict'});
    expect(again.state).toBe(state);
  });

  it('does not restore an old choice when a withdrawn name is added again', () => {
    let {state} = applyNoteCommand(
      EMPTY_CONTROL_STATE,
      noteCommand('a', 0, {added: {'behaviour:x': 'old'}}),
    );
    const chosen = {
      kind: 'setPreferences',
      customer: 'guest',
      choices: {'behaviour:x': 'mine'},
    } as const;
    state = applyCommand(state, chosen).state;
    expect(resolveBehaviours(state, 'guest')).toEqual({x: 'mine'});
    ({state} = applyNoteCommand(
      state,
      noteCommand('b', 1, {withdrawn: ['behaviour:x']}),
    ));
    expect(resolveBehaviours(state, 'guest')).toEqual({});
    ({state} = applyNoteCommand(
      state,
      noteCommand('c', 2, {added: {'behaviour:x': 'new'}}),
    ));
    expect(resolveBehaviours(state, 'guest')).toEqual({x: 'new'});
  });
});

describe('applyCommand with claim views', () => {
  const first: ControlCommand = {
    kind: 'setView',
    dataCentre: CENTRO,
    fromEpoch: 0,
    members: [viewMember('centro-1', 'a'), viewMember('centro-2', 'b')],
  };

  it('keeps the generation while a member stays, and gives a rejoining member a later join epoch', () => {
    let {state} = applyCommand(EMPTY_CONTROL_STATE, first);
    const change = (
      fromEpoch: number,
      members: Array<ReturnType<typeof viewMember>>,
    ): void => {
      ({state} = applyCommand(state, {
        kind: 'setView',
        dataCentre: CENTRO,
        fromEpoch,
        members,
      }));
    };
    change(1, [viewMember('centro-1', 'a')]);
    change(2, [viewMember('centro-1', 'a'), viewMember('centro-2', 'b')]);
    expect(state.views[CENTRO]).toMatchObject({
      epoch: 3,
      generation: 1,
      members: [
        {instanceId: 'centro-1', since: 1},
        {instanceId: 'centro-2', since: 3},
      ],
    });
  });

  it('resets the view only when every old member has another boot id', () => {
    const {state} = applyCommand(EMPTY_CONTROL_STATE, first);
    const reset = (
      replaced: Array<ReturnType<typeof viewMember>>,
    ): ControlState =>
      applyCommand(state, {
        kind: 'setView',
        dataCentre: CENTRO,
        fromEpoch: 1,
        members: [viewMember('centro-1', 'z')],
        reset: {replaced, byOperator: false},
      }).state;
    expect(reset([viewMember('centro-1', 'z')])).toBe(state);
    expect(
      reset([viewMember('centro-1', 'z'), viewMember('centro-2', 'b')]),
    ).toBe(state);
    const done = reset([
      viewMember('centro-1', 'z'),
      viewMember('centro-2', 'y'),
    ]);
    expect(done.views[CENTRO]).toMatchObject({epoch: 2, generation: 2});
  });

  it('accepts only the first of two changes from the same epoch', () => {
    const {state} = applyCommand(EMPTY_CONTROL_STATE, first);
    const won = applyCommand(state, {
      ...first,
      fromEpoch: 1,
      members: [viewMember('centro-1', 'a')],
    });
    const lost = applyCommand(won.state, {
      ...first,
      fromEpoch: 1,
      members: [viewMember('centro-2', 'b')],
    });
    expect(lost.state).toBe(won.state);
  });
});

describe('applyCommand with evacuations', () => {
  const order = (isEvacuated: boolean, fromSerial: number): ControlCommand => ({
    kind: 'setEvacuation',
    dataCentre: CENTRO,
    isEvacuated,
    fromSerial,
    atMs: 7,
  });
  const apply = (
    commands: readonly ControlCommand[],
  ): {state: ControlState; accepted: boolean[]} => {
    let state = EMPTY_CONTROL_STATE;
    const accepted = commands.map(command => {
      const applied = applyCommand(state, command);
      state = applied.state;
      return applied.result.kind === 'evacuation' && applied.result.accepted;
    });
    return {state, accepted};
  };

  it('accepts an order that is in force already', () => {
    const {state, accepted} = apply([
      order(true, 0),
      order(true, 0),
      {...order(true, 1), atMs: 9} as ControlCommand,
    ]);
    expect(accepted).toEqual([true, true, true]);
    expect(state.evacuations[CENTRO]).toEqual({
      serial: 2,
      isEvacuated: true,
      atMs: 7,
    });
  });

  // The operator had no answer to an order, withdrew it, and the order was committed
  // after the withdrawal, which had found nothing to change.
  it('rejects an order that was withdrawn before it was committed', () => {
    const {state, accepted} = apply([order(false, 0), order(true, 0)]);
    expect(accepted).toEqual([true, false]);
    expect(isEvacuated(state, CENTRO)).toBe(false);
  });

  // A copy that was held up on its way evacuated a data centre that was in service.
  it('rejects a copy of an order that was withdrawn since it was proposed', () => {
    const {state, accepted} = apply([
      order(true, 0),
      order(false, 1),
      order(true, 0),
    ]);
    expect(accepted).toEqual([true, true, false]);
    expect(isEvacuated(state, CENTRO)).toBe(false);
  });

  it('never uses a serial number twice, whatever orders come', () => {
    fc.assert(
      fc.property(
        fc.array(fc.tuple(fc.boolean(), fc.nat(6)), {maxLength: 30}),
        orders => {
          let state = EMPTY_CONTROL_STATE;
          const states = new Map<number, boolean>();
          for (const [wanted, fromSerial] of orders) {
            state = applyCommand(state, order(wanted, fromSerial)).state;
            const {serial, isEvacuated: inForce} = state.evacuations[
              CENTRO
            ] ?? {serial: 0, isEvacuated: false};
            expect(states.get(serial) ?? inForce).toBe(inForce);
            states.set(serial, inForce);
          }
        },
      ),
      {seed: 1},
    );
  });
});
