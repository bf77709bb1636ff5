import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {SettingsError} from '../settings_error/settings_error.js';
import {parseSettings} from './parse_settings.js';

const VALID_SETTINGS = {
  instanceId: 'centro-1',
  dataCentre: 'centro',
  region: 'vale-sul',
  callers: {host: '127.0.0.1', port: 0},
  operators: {host: '127.0.0.1', port: 0, keyFile: 'operator.key'},
  peers: {
    host: '127.0.0.1',
    port: 0,
    keyFile: 'peer.key',
    members: [
      {
        instanceId: 'centro-1',
        dataCentre: 'centro',
        host: '127.0.0.1',
        port: 7001,
      },
    ],
  },
};

function problemsOf(document: unknown): Array<{path: string; value: string}> {
  try {
    parseSettings(JSON.stringify(document));
  } catch (err) {
    return [...(err as SettingsError).problems];
  }
  throw new Error('parseSettings accepted invalid settings');
}

describe('parseSettings', () => {
  it('sets defaults for omitted fields', () => {
    const cfg = parseSettings(JSON.stringify(VALID_SETTINGS));
    expect(cfg.timing.peerTimeoutMs).toBe(2_500);
    expect(cfg.limits.jobTasks).toBe(420);
  });

  it('reports all problems in one error, each with its path and value', () => {
    const document = {
      ...VALID_SETTINGS,
      callers: {host: 'here', port: 70_000},
      colour: 'red',
    };
    const problems = problemsOf(document);
    expect(problems).toContainEqual(
      expect.objectContaining({path: '$.callers.host', value: '"here"'}),
    );
    expect(problems).toContainEqual(
      expect.objectContaining({path: '$.callers.port', value: '70000'}),
    );
    expect(problems.length).toBe(3);
  });

  it('rejects an instance that is not in peers.members', () => {
    expect(
      problemsOf({...VALID_SETTINGS, instanceId: 'serra-1'})[0]!.path,
    ).toBe('$.peers.members');
  });

  it('rejects dataDir on an instance that is not a replica', () => {
    expect(problemsOf({...VALID_SETTINGS, dataDir: '/data'})[0]).toMatchObject({
      path: '$.dataDir',
      value: '"/data"',
    });
  });

  it('throws only SettingsError for arbitrary text', () => {
    fc.assert(
      fc.property(fc.oneof(fc.string(), fc.json()), text => {
        expect(() => parseSettings(text)).toThrow(SettingsError);
      }),
      {seed: 7, numRuns: 1_000},
    );
  });
});
