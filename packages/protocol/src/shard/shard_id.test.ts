import {describe, expect, it} from 'vitest';
import type {DataCentreId} from '../ids/data_centre_id.js';
import {dataCentreOfShard} from './data_centre_of_shard.js';
import {shardIdOf} from './shard_id_of.js';

describe('shardIdOf', () => {
  it('keeps the name of the data centre for the first shard', () => {
    expect(shardIdOf('centro' as DataCentreId, 0)).toBe('centro');
  });

  it('names shards so that their data centre can be read back', () => {
    for (const index of [0, 1, 11, 120]) {
      const shard = shardIdOf('north-shore' as DataCentreId, index);
      expect(dataCentreOfShard(shard)).toBe('north-shore');
    }
  });
});
