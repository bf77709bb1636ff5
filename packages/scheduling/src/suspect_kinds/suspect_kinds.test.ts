import type {KindId, TaskId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {SuspectKinds} from './suspect_kinds.js';

const KIND = 'relato' as KindId;
const OTHER_KIND = 'confirma' as KindId;
const FIRST = '5c0e7a21d94b36f8.0.0.1' as TaskId;
const SECOND = 'f5d66e159bff2070.0.0.0' as TaskId;

describe('SuspectKinds', () => {
  it('suspects a kind after two of its tasks, for some time', () => {
    const kinds = SuspectKinds.create();
    kinds.record(KIND, FIRST, 0);
    kinds.record(KIND, FIRST, 100);
    expect(kinds.has(KIND, 200)).toBe(false);
    kinds.record(KIND, SECOND, 300);
    expect(kinds.has(KIND, 19_900)).toBe(true);
    expect(kinds.has(OTHER_KIND, 400)).toBe(false);
    expect(kinds.has(KIND, 20_100)).toBe(false);
  });
});
