import type {
  DataCentreId,
  InstanceId,
  ServiceId,
  ShardId,
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
const T1 = 't1' as TargetId;

function report(overrides: Partial<TargetReport> = {}): TargetReport {
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
    ...overrides,
  };
}

class Fixture {
  readonly clock = VirtualClock.create();
  readonly network = MemoryNetwork.create(
    this.clock,
    SeededRandom.create(1),
    2,
  );
  readonly entry = this.network.join(ENTRY);
  scheduler: InstanceId | undefined = ENTRY;
  token = 1;
  readonly directory = TargetDirectory.create({
    network: this.network.join(STATE),
    clock: this.clock,
    log: SilentLog.create(),
    shardOf: () => 'centro' as ShardId,
    grantOf: () =>
      this.scheduler && {instanceId: this.scheduler, token: this.token},
  });

  async accept(incoming: TargetReport): Promise<boolean> {
    let result: boolean | undefined;
    void this.directory.accept(incoming).then(r => (result = r));
    await this.clock.advance(1_000);
    return result!;
  }

  /** Has the scheduler answer each report, and returns those that it gets. */
  recordForwarded(accepted: boolean): TargetReport[] {
    const reports: TargetReport[] = [];
    this.entry.onCall('reportTarget', (_from, req) => {
      reports.push(req.report);
      // A scheduler accepts the reports of the target that it knows.
      return Promise.resolve({accepted: accepted || req.report.port === 1});
    });
    return reports;
  }

  /** Lists the targets as a scheduler that begins does. */
  async list(): Promise<readonly TargetReport[]> {
    let reports: readonly TargetReport[] = [];
    const shard = 'centro' as ShardId;
    void this.entry
      .call(STATE, 'listTargets', {dataCentre: CENTRO, shard}, {timeoutMs: 500})
      .then(res => (reports = res.reports));
    await this.clock.advance(100);
    return reports;
  }
}

describe('TargetDirectory', () => {
  // After a partition, a report that was sent before the departure came last.
  it('does not list a target again that has gone, unless it is born again', async () => {
    const fixture = new Fixture();
    await fixture.accept(report({sequence: 3}));
    await fixture.accept(report({sequence: 3, state: 'gone'}));
    await fixture.accept(report({sequence: 4}));
    const stateOf = (): string | undefined =>
      fixture.directory.latestReport(report().targetId)?.state;
    expect(stateOf()).toBe('gone');
    await fixture.accept(report({bornMs: 11}));
    expect(stateOf()).toBe('ready');
  });

  it('acknowledges a leaving target only when its scheduler accepted the report', async () => {
    const fixture = new Fixture();
    const draining = report({state: 'draining', sequence: 2});
    fixture.entry.onCall('reportTarget', () =>
      Promise.resolve({accepted: true}),
    );
    expect(await fixture.accept(draining)).toBe(true);
    fixture.network.setCut(STATE, ENTRY, true);
    expect(await fixture.accept({...draining, sequence: 3})).toBe(false);
    fixture.scheduler = undefined;
    expect(await fixture.accept({...draining, sequence: 4})).toBe(true);
  });

  it('ignores a delayed report that is older than the latest one', async () => {
    const fixture = new Fixture();
    fixture.scheduler = undefined;
    await fixture.accept(report({sequence: 5, state: 'draining'}));
    await fixture.accept(report({sequence: 4}));
    await fixture.accept(report({bornMs: 9, sequence: 9}));
    const latestReport = fixture.directory.latestReport(T1);
    expect(latestReport).toMatchObject({sequence: 5, state: 'draining'});
    await fixture.accept(report({bornMs: 11}));
    expect(fixture.directory.latestReport(T1)?.bornMs).toBe(11);
  });

  it('forwards reports without changes less often, and any change or new scheduler at once', async () => {
    const fixture = new Fixture();
    let forwarded = 0;
    fixture.entry.onCall('reportTarget', () => {
      forwarded++;
      return Promise.resolve({accepted: true});
    });
    for (let sequence = 1; sequence <= 4; sequence++) {
      await fixture.accept(report({sequence}));
    }
    expect(forwarded).toBe(1);
    for (let sequence = 5; sequence <= 8; sequence++) {
      await fixture.accept(report({sequence}));
    }
    expect(forwarded).toBe(2);
    await fixture.accept(report({sequence: 9, labels: ['x']}));
    expect(forwarded).toBe(3);
    fixture.token = 2;
    await fixture.accept(report({sequence: 10, labels: ['x']}));
    expect(forwarded).toBe(4);
  });

  // A report of another writer took the place of the target's own ones, which
  // were dropped from then on since they were born earlier (review/9).
  it('keeps a target beside a report from elsewhere, and lists and forwards both', async () => {
    const fixture = new Fixture();
    const forwarded = fixture.recordForwarded(false);
    const foreign = report({port: 9, bornMs: 50});
    await fixture.accept(report());
    await fixture.accept(foreign);
    await fixture.accept(report({sequence: 2, state: 'draining'}));
    expect(fixture.directory.latestReport(T1)).toMatchObject({
      sequence: 2,
      state: 'draining',
      port: 1,
    });
    expect(forwarded.map(({port}) => port)).toEqual([1, 9, 1]);
    expect((await fixture.list()).map(({port}) => port)).toEqual([1, 9]);
  });

  it('does not acknowledge the departure of a target from elsewhere unless its scheduler accepts it', async () => {
    const fixture = new Fixture();
    fixture.recordForwarded(false);
    await fixture.accept(report());
    const foreign = report({port: 9, bornMs: 50, state: 'draining'});
    expect(await fixture.accept(foreign)).toBe(false);
    expect(fixture.directory.latestReport(T1)?.state).toBe('ready');
  });

  it('follows a target that has moved as soon as its scheduler does', async () => {
    const fixture = new Fixture();
    fixture.recordForwarded(true);
    await fixture.accept(report());
    await fixture.accept(report({port: 9, bornMs: 50}));
    expect(fixture.directory.latestReport(T1)?.port).toBe(9);
    // A delayed report of the earlier incarnation.
    await fixture.accept(report({sequence: 2}));
    expect(fixture.directory.latestReport(T1)?.port).toBe(9);
  });

  it('follows a target that has moved once the earlier address is silent, without any scheduler', async () => {
    const fixture = new Fixture();
    fixture.scheduler = undefined;
    await fixture.accept(report());
    for (let sequence = 1; sequence <= 5; sequence++) {
      await fixture.clock.advance(3_500);
      await fixture.accept(report({port: 9, bornMs: 50, sequence}));
      fixture.directory.sweep();
    }
    expect(fixture.directory.latestReport(T1)?.port).toBe(9);
    expect((await fixture.list()).map(({port}) => port)).toEqual([9]);
  });

  it('keeps one report from elsewhere, the latest, and only for a while', async () => {
    const fixture = new Fixture();
    fixture.scheduler = undefined;
    await fixture.accept(report());
    for (let port = 10; port < 40; port++) {
      void fixture.directory.accept(report({port, bornMs: 100 + port}));
    }
    expect((await fixture.list()).map(({port}) => port)).toEqual([1, 39]);
    await fixture.clock.advance(10_000);
    await fixture.accept(report({sequence: 2}));
    await fixture.clock.advance(10_000);
    fixture.directory.sweep();
    expect((await fixture.list()).map(({port}) => port)).toEqual([1]);
  });

  it('lists neither report of a target that has been deregistered', async () => {
    const fixture = new Fixture();
    const forwarded = fixture.recordForwarded(false);
    await fixture.accept(report());
    await fixture.accept(report({port: 9, bornMs: 50}));
    void fixture.directory.deregister(T1);
    await fixture.clock.advance(1_000);
    expect(fixture.directory.latestReport(T1)).toMatchObject({
      port: 1,
      state: 'gone',
    });
    const departures = forwarded.filter(({state}) => state === 'gone');
    expect(departures.map(({port}) => port)).toEqual([9, 1]);
    expect((await fixture.list()).map(({state}) => state)).toEqual(['gone']);
    await fixture.directory.deregister('t2' as TargetId);
    expect(fixture.directory.size).toBe(1);
  });

  it('removes the report of a silent target', async () => {
    const fixture = new Fixture();
    fixture.scheduler = undefined;
    await fixture.accept(report());
    await fixture.clock.advance(20_000);
    fixture.directory.sweep();
    expect(fixture.directory.size).toBe(0);
  });
});
