import {encodeMessage} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ControlStore} from './control_store.js';

const CONFIGURATION = {
  kind: 'applyConfiguration',
  revision: 7,
  content: {routes: []},
};

const LARGE_BYTES = 256 * 1024;
const MAX_FRAME_BYTES = 32 * 1024 * 1024;
/** As many as exceed a frame. */
const LARGE_COMMANDS = MAX_FRAME_BYTES / LARGE_BYTES + 1;

describe('ControlStore', () => {
  it('has no problem with a command, and names that of bytes that are none', () => {
    const store = ControlStore.create();
    expect(store.problemOf(encodeMessage(CONFIGURATION))).toBeUndefined();
    expect(store.problemOf(encodeMessage({kind: 'other'}))).toContain('kind');
    expect(store.problemOf(encodeMessage({kind: 'assignTargets'}))).toBeTypeOf(
      'string',
    );
    expect(store.problemOf(Uint8Array.of(0xc1))).toBeTypeOf('string');
  });

  it('applies each command that it has no problem with, and stays usable', () => {
    const kinds = fc.constantFrom(
      'applyNote',
      'setView',
      'setPreferences',
      'applyConfiguration',
      'grantScheduler',
      'assignTargets',
      'removeTargets',
      'setEvacuation',
      'other',
    );
    const commands = fc.array(
      fc.tuple(kinds, fc.dictionary(fc.string(), fc.jsonValue())),
      {maxLength: 6},
    );
    fc.assert(
      fc.property(commands, drawn => {
        const store = ControlStore.create();
        let index = 0;
        for (const [kind, fields] of drawn) {
          const bytes = encodeMessage({...fields, kind});
          if (store.problemOf(bytes) === undefined) {
            store.apply(++index, bytes);
          }
        }
        store.apply(++index, encodeMessage(CONFIGURATION));
        expect(store.state.configuration?.revision).toBe(7);
      }),
      {seed: 7, numRuns: 500},
    );
  });

  // A snapshot that an earlier version wrote ended the reader of its evacuations.
  it('reads a snapshot without evacuations as one that has none', () => {
    const store = ControlStore.create();
    const earlier = Object.entries(store.state).filter(
      ([field]) => field !== 'evacuations',
    );
    store.restore(3, encodeMessage(Object.fromEntries(earlier)));
    expect(store.state.evacuations).toEqual({});
  });

  // All commands that a peer lacked were sent in one answer, too large for a frame.
  it('sends a peer that lacks many large commands an answer that fits into a frame, and the whole state', () => {
    const store = ControlStore.create();
    for (let index = 1; index <= LARGE_COMMANDS; index++) {
      const content = {text: 'x'.repeat(LARGE_BYTES)};
      const command = {...CONFIGURATION, revision: index, content};
      store.apply(index, encodeMessage(command));
      expect(store.after(index - 1).kind).toBe('commands');
    }
    const res = store.after(0);
    expect(encodeMessage(res).byteLength).toBeLessThan(MAX_FRAME_BYTES);
    const peer = ControlStore.create();
    if (res.kind === 'snapshot') {
      peer.restore(res.index, res.state);
    } else {
      res.commands.forEach(c => peer.apply(c.index, c.command));
    }
    expect(peer.index).toBe(LARGE_COMMANDS);
    expect(peer.state).toEqual(store.state);
  });
});
