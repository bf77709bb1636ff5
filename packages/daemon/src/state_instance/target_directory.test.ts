import type {
  DataCentreId,
  InstanceId,
  ServiceId,
  TargetId,
  TargetReport,
} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import {MemoryNetwork, SilentLog, VirtualClock} from '@papayarun/test_kit';
import {describe, expect, it} from 'vitest';
import {TargetDirectory} from './target_directory.js';

const CENTRO = 'centro' as DataCentreId;
const ENTRY = 'entry' as InstanceId;
const STATE = 'state' as InstanceId;

function report(over: Partial<TargetReport> = {}): TargetReport {
  return {
    targetId: 't1' as TargetId,
    bornMs: 10,
    sequence: 1,
    state: 'ready',
    service: 'falhas' as ServiceId,
    dataCentre: CENTRO,
    host: '127.0.0.1',
    port: 1,
    capacity: {cores: 1, memoryMb: 1, accelerators: 0},
    labels: [],
    ...over,
  };
}

class Bench {
  readonly clock = VirtualClock.create();
  readonly net = MemoryNetwork.create(this.clock, SeededRandom.create(1), 2);
  readonly entry = this.net.join(ENTRY);
  scheduler: InstanceId | undefined = ENTRY;
  readonly directory = TargetDirectory.create({
    network: this.net.join(STATE),
    clock: this.clock,
    log: SilentLog.create(),
    schedulerOf: () => this.scheduler,
  });

  async accept(given: TargetReport): Promise<boolean> {
    let result: boolean | undefined;
    void this.directory.accept(given).then(r => (result = r));
    await this.clock.advance(1_000);
    return result!;
  }
}

describe('TargetDirectory', () => {
  it('acknowledges a leaving target only when its scheduler has it', async () => {
    const bench = new Bench();
    const draining = report({state: 'draining', sequence: 2});
    bench.entry.onCall('reportTarget', () => Promise.resolve({accepted: true}));
    expect(await bench.accept(draining)).toBe(true);
    bench.net.setCut(STATE, ENTRY, true);
    expect(await bench.accept({...draining, sequence: 3})).toBe(false);
    bench.scheduler = undefined;
    expect(await bench.accept({...draining, sequence: 4})).toBe(true);
  });

  it('is not moved back by a report that was held up', async () => {
    const bench = new Bench();
    bench.scheduler = undefined;
    await bench.accept(report({sequence: 5, state: 'draining'}));
    await bench.accept(report({sequence: 4}));
    await bench.accept(report({bornMs: 9, sequence: 9}));
    const held = bench.directory.latest('t1' as TargetId);
    expect(held).toMatchObject({sequence: 5, state: 'draining'});
    await bench.accept(report({bornMs: 11}));
    expect(bench.directory.latest('t1' as TargetId)?.bornMs).toBe(11);
  });

  it('forgets a target that has gone silent', async () => {
    const bench = new Bench();
    bench.scheduler = undefined;
    await bench.accept(report());
    await bench.clock.advance(20_000);
    bench.directory.sweep();
    expect(bench.directory.size).toBe(0);
  });
});
