import type {KindId, ServiceId} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import type {CheckedConfiguration} from './checked_configuration.js';
import {findDifferences} from './find_differences.js';

type CheckedQueue = CheckedConfiguration['queues'][number];

const queue = (
  pathPrefix: string,
  changed: Partial<CheckedQueue> = {},
): CheckedQueue => ({
  kind: 'relato' as KindId,
  host: 'a.example',
  pathPrefix,
  timeoutMs: 1_500,
  otherFields: {hedge: {afterMs: 5}},
  ...changed,
});
const service = (
  name: string,
  otherFields = {},
): CheckedConfiguration['services'][number] => ({
  name: name as ServiceId,
  otherFields,
});
const BEFORE: CheckedConfiguration = {
  revision: 7,
  queues: [queue('/x/'), queue('/y/')],
  services: [service('falhas', {healthPath: '/health'})],
  limits: {maxBodyBytes: 1_024, otherFields: {}},
  otherFields: {note: 'a'},
};

function differences(after: Partial<CheckedConfiguration>): string[] {
  return findDifferences(BEFORE, {...BEFORE, ...after}).map(
    ({severity, path, message}) => `${severity} ${path.join('.')}: ${message}`,
  );
}

describe('findDifferences', () => {
  // The order has no effect: the longest prefix wins.
  it('finds none between equal configurations, also in another order', () => {
    const queues = [...BEFORE.queues].reverse();
    expect(differences({queues})).toEqual([]);
  });

  it('names queues that are added and removed, also with a key at fault', () => {
    const queues = [
      queue('/z/'),
      queue('/x/', {host: undefined}),
      queue('/x/'),
    ];
    expect(differences({queues})).toEqual([
      'change queues.0: added: a.example/z/',
      'change queues.1: removed: a.example/y/',
    ]);
  });

  it('names each changed field of a queue, also one that is not used', () => {
    const otherFields = {hedge: {afterMs: 6}, routeType: 'r'};
    const queues = [queue('/y/'), queue('/x/', {timeoutMs: 900, otherFields})];
    expect(differences({queues})).toEqual([
      'change queues.1.timeoutMs: changed from 1500 to 900',
      'change queues.1.otherFields.hedge.afterMs: changed from 5 to 6',
      'change queues.1.otherFields.routeType: added: "r"',
    ]);
  });

  // Requests are matched without regard to the case of the host.
  it('treats a host in another case as a changed field, not as another queue', () => {
    const queues = [queue('/x/', {host: 'A.example'}), queue('/y/')];
    expect(differences({queues})).toEqual([
      'change queues.0.host: changed from "a.example" to "A.example"',
    ]);
  });

  it('names changed services, limits, revision and other fields', () => {
    expect(
      differences({
        revision: 8,
        services: [service('falhas'), service('novo')],
        limits: {headersTimeoutMs: 5, otherFields: {}},
        otherFields: {note: 'b'.repeat(1_000)},
      }),
    ).toEqual([
      'change revision: changed from 7 to 8',
      'change limits.maxBodyBytes: removed: 1024',
      'change limits.headersTimeoutMs: added: 5',
      expect.stringMatching(/^change otherFields.note: .{1,160}\.\.\.$/),
      'change services.0.otherFields.healthPath: removed: "/health"',
      'change services.1: added: novo',
    ]);
  });

  // An invalid value is an error, and would be shown as a removal as well.
  it('does not compare a field that is invalid in one of them', () => {
    const queues = [queue('/x/', {timeoutMs: undefined}), queue('/y/')];
    expect(differences({queues, revision: undefined})).toEqual([]);
  });

  // Names of Object.prototype exist in each object unless only own keys count.
  it('treats fields with the names of inherited ones as any other', () => {
    const otherFields = JSON.parse(
      '{"__proto__":1,"constructor":2,"note":"a"}',
    );
    expect(differences({otherFields})).toEqual([
      'change otherFields.__proto__: added: 1',
      'change otherFields.constructor: added: 2',
    ]);
  });
});
