import {expect, it} from 'vitest';
import {ReadingTurn} from './reading_turn.js';

// 300 connections with 1,600 requests each in one read took hundreds of MB in a turn.
it('stops reading after some thousand requests in a turn, and goes on in the next', async () => {
  const calls: string[] = [];
  const turn = ReadingTurn.create(
    {
      pause: () => calls.push('pause'),
      resume: () => calls.push('resume'),
    },
    100,
  );
  const add = (count: number): void => {
    for (let n = 0; n < count; n++) {
      turn.addRequest();
    }
  };
  add(3_000);
  await new Promise(resolve => setImmediate(resolve));
  expect(calls).toEqual([]);
  add(5_000);
  expect(calls).toEqual(['pause']);
  await new Promise(resolve => setImmediate(resolve));
  expect(calls).toEqual(['pause', 'resume']);
});
