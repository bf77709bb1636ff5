import type {KindId, ServiceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {QueueTable} from './queue_table.js';
import type {WorkQueue} from './work_queue.js';

const queue = (host: string, pathPrefix: string): WorkQueue => ({
  kind: pathPrefix as KindId,
  host,
  pathPrefix,
  service: 'falhas' as ServiceId,
  priority: 0,
  maxAttempts: 1,
  stretch: 1,
  slackMs: 0,
  timeoutMs: 1_500,
});

describe('QueueTable', () => {
  const table = QueueTable.create([
    queue('a.example', '/x/'),
    queue('a.example', '/x/y/'),
    queue('B.example', '/x/'),
  ]);

  it('finds the queue with the longest matching prefix of the host', () => {
    expect(table.find('a.example', '/x/y/1')?.pathPrefix).toBe('/x/y/');
    expect(table.find('a.example', '/x/1')?.pathPrefix).toBe('/x/');
  });

  it('compares hosts without regard to case', () => {
    expect(table.find('b.EXAMPLE', '/x/1')?.host).toBe('B.example');
  });

  it('finds no queue for an unknown prefix or host', () => {
    expect(table.find('a.example', '/z/')).toBeUndefined();
    expect(table.find('c.example', '/x/')).toBeUndefined();
  });
});
