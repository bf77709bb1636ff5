import type {KindId, ServiceId} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {QueueTable} from '../work_queue/queue_table.js';
import type {WorkQueue} from '../work_queue/work_queue.js';
import {checkConfiguration} from './check_configuration.js';
import type {CheckedConfiguration} from './checked_configuration.js';

type CheckedQueue = CheckedConfiguration['queues'][number];

const BOUNDS = {
  maxBodyBytes: 262_144,
  headersTimeoutMs: 10_000,
  keepAliveTimeoutMs: 30_000,
};

const queue = (changed: Partial<CheckedQueue> = {}): CheckedQueue => ({
  kind: 'relato' as KindId,
  host: 'a.example',
  pathPrefix: '/x/',
  service: 'falhas' as ServiceId,
  priority: 0,
  maxAttempts: 3,
  stretch: 4,
  slackMs: 500,
  timeoutMs: 1_500,
  otherFields: {},
  ...changed,
});

const configuration = (
  changed: Partial<CheckedConfiguration> = {},
): CheckedConfiguration => ({
  revision: 8,
  queues: [queue()],
  services: [{name: 'falhas' as ServiceId, otherFields: {}}],
  limits: {maxBodyBytes: 262_144, otherFields: {}},
  otherFields: {},
  ...changed,
});

/** Checks a configuration and returns each finding as one line. */
function check(
  changed: Partial<CheckedConfiguration>,
  inForce?: CheckedConfiguration,
): string[] {
  return checkConfiguration(configuration(changed), BOUNDS, inForce).map(
    ({severity, path, message}) => `${severity} ${path.join('.')}: ${message}`,
  );
}

describe('checkConfiguration', () => {
  // A false alarm would make operators ignore the exit code.
  it('finds nothing in a configuration whose values equal the bounds', () => {
    const limits = {...BOUNDS, otherFields: {}};
    const equal = queue({slackMs: 3, timeoutMs: 3, stretch: 1});
    expect(check({queues: [equal], limits})).toEqual([]);
  });

  it('finds all unknown services and equal keys, not only the first', () => {
    const other = queue({service: 'z' as ServiceId, pathPrefix: '/z/'});
    const upper = queue({host: 'A.Example', kind: 'k' as KindId});
    expect(check({queues: [queue(), other, upper, upper]})).toEqual([
      'error queues.1.service: no service z',
      'error queues.2.pathPrefix: relato has the same host and prefix',
      'error queues.3.pathPrefix: relato has the same host and prefix',
    ]);
  });

  it.each([
    '/a b/',
    '/á/',
    '/a/../b/',
    '/a/./',
    '/a?b/',
    '/a#/',
    '//x/',
    '/a\\b/',
  ])('finds that URL parsing changes paths with the prefix %s', pathPrefix => {
    expect(check({queues: [queue({pathPrefix})]})).toEqual([
      expect.stringMatching(
        /^warning queues\.0\.pathPrefix: matches no request: /,
      ),
    ]);
  });

  // These look unusual, but the URL parser returns them unchanged.
  it.each(['/', '/x', '/a%20b/', '/a..', '/a//', '/~a:@!$&/'])(
    'finds nothing wrong with the prefix %s',
    pathPrefix => {
      expect(check({queues: [queue({pathPrefix})]})).toEqual([]);
    },
  );

  // The check parses paths by itself, and could differ from what entries do.
  it('warns of exactly those prefixes under which entries find no queue', () => {
    const character = fc.constantFrom(...'/.ab%2e\\?#:@ \té"{~');
    fc.assert(
      fc.property(fc.string({unit: character, maxLength: 8}), text => {
        const checked = queue({pathPrefix: `/${text}`});
        const table = QueueTable.create([checked as WorkQueue]);
        const target = `/${text}0123456789abcdef`;
        const isFound =
          URL.canParse(target, 'http://papayarun') &&
          table.find('a.example', new URL(target, 'http://papayarun').pathname);
        expect(check({queues: [checked]})).toHaveLength(isFound ? 0 : 1);
      }),
      {numRuns: 2_000},
    );
  });

  it.each(['a.example:80', '*.a.example x', 'á.example', '*'])(
    'finds that no request has the host %s',
    host => {
      expect(check({queues: [queue({host})]})).toEqual([
        expect.stringMatching(/^warning queues\.0\.host: matches no request: /),
      ]);
    },
  );

  it('names the queue that hides another spelling of its host or prefix', () => {
    const hidden = [
      queue({host: 'A.example:8161'}),
      queue({pathPrefix: '/y/../x/'}),
    ];
    expect(check({queues: [...hidden, queue()]})).toEqual([
      expect.stringMatching(/queues\.0\.host: .*hidden by relato/),
      expect.stringMatching(/queues\.1\.pathPrefix: .*hidden by relato/),
    ]);
  });

  it('finds services that are listed twice or that nothing uses', () => {
    const services = ['falhas', 'idle', 'falhas'].map(name => ({
      name: name as ServiceId,
      otherFields: {},
    }));
    expect(check({services})).toEqual([
      'warning services.1: nothing uses idle',
      'warning services.2: falhas is listed before',
    ]);
  });

  it('finds values of a queue that contradict each other', () => {
    const contradictory = queue({
      slackMs: 6,
      timeoutMs: 5,
      stretch: 0.9,
      maxAttempts: 6,
    });
    expect(check({queues: [contradictory]})).toEqual([
      expect.stringMatching(/^warning queues\.0\.slackMs: .*6 ms.*5 ms/),
      expect.stringMatching(/^warning queues\.0\.stretch: 0.9 is below 1/),
      expect.stringMatching(/^warning queues\.0\.maxAttempts: 6 attempts/),
    ]);
  });

  it('finds limits above those of the process, above each other, or invalid', () => {
    const limits = {
      maxBodyBytes: undefined,
      headersTimeoutMs: 10_001,
      keepAliveTimeoutMs: 10_000,
      otherFields: {},
    };
    expect(check({limits}).sort()).toEqual([
      expect.stringMatching(
        /^warning limits\.headersTimeoutMs: .*10000 of the/,
      ),
      expect.stringMatching(
        /^warning limits\.headersTimeoutMs: .*idle timeout/,
      ),
      'warning limits.maxBodyBytes: not a positive number',
    ]);
  });

  // The control interface answers 200 to such a configuration and ignores it.
  it('finds a revision that is not above the one in force', () => {
    for (const revision of [8, 9]) {
      expect(check({}, configuration({revision}))[0]).toBe(
        `error revision: not above ${revision}, which is in force`,
      );
    }
    const unknown = configuration({revision: undefined});
    expect(check({}, unknown)[0]).toMatch(/^error revision: .*no valid number/);
  });

  // A decoded configuration lacks values where the file has invalid ones.
  it('checks the valid fields of a configuration with invalid ones', () => {
    const broken = queue({timeoutMs: undefined, stretch: 0.5});
    const nameless = queue({kind: undefined, host: undefined});
    const services = [{name: undefined, otherFields: {}}];
    expect(check({queues: [broken, nameless], services})).toEqual([
      'error queues.0.service: no service falhas',
      'error queues.1.service: no service falhas',
      expect.stringMatching(/^warning queues\.0\.stretch/),
    ]);
  });
});
