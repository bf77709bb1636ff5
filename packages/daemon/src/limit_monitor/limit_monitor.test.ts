import type {EventLog} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {LimitMonitor} from './limit_monitor.js';

// A line for each refusal of a crowd would push all others out of the log.
it('counts each refusal, and logs a line a second with the number', () => {
  let nowMs = 0;
  const counted: string[] = [];
  const lines: unknown[] = [];
  const log = {
    emit: (_name: string, fields: unknown) => lines.push(fields),
  } as unknown as EventLog;
  const metrics = {countLimit: (limit: string) => void counted.push(limit)};
  const monitor = LimitMonitor.create({now: () => nowMs}, log, metrics);
  for (let n = 0; n < 5; n++) {
    monitor.record('bodyRefused');
  }
  monitor.record('answerUnread');
  nowMs = 1_000;
  monitor.record('bodyRefused');
  expect(counted).toHaveLength(7);
  expect(lines).toEqual([
    {limit: 'bodyRefused', count: 1},
    {limit: 'answerUnread', count: 1},
    {limit: 'bodyRefused', count: 5},
  ]);
});
