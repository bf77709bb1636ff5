import type {DataCentreId, InstanceId} from '@papayarun/protocol';
import {expect, it} from 'vitest';
import {selectBackups} from './select_backups.js';

const SELF = 'centro-1' as InstanceId;
const CENTRO = 'centro' as DataCentreId;

function select(...names: string[]): string[] {
  const peers = new Map(
    names.map(name => [name as InstanceId, name.split('-')[0] as DataCentreId]),
  );
  return selectBackups(SELF, CENTRO, peers);
}

it('selects one of the own data centre and one of another', () => {
  const backups = select('centro-2', 'centro-3', 'serra-1', 'ribeira-1');
  expect(backups).toHaveLength(2);
  expect(backups[0]).toMatch(/^centro/);
  expect(backups[1]).not.toMatch(/^centro/);
});

it('selects two of what there is', () => {
  expect(select('serra-1', 'ribeira-1', 'serra-2')).toHaveLength(2);
  expect(select('centro-2')).toEqual(['centro-2']);
  expect(select()).toEqual([]);
});

it('selects two of different data centres where the own one has none', () => {
  const names = ['serra-1', 'serra-2', 'serra-3', 'serra-4', 'ribeira-1'];
  const places = select(...names).map(name => name.split('-')[0]);
  expect(new Set(places)).toEqual(new Set(['serra', 'ribeira']));
});
