import {randomUUID} from 'node:crypto';
import {Cluster} from '../cluster/cluster.js';
import type {HttpResult} from '../http_call/http_call.js';
import {httpCall} from '../http_call/http_call.js';
import {TargetProcess} from '../target_process/target_process.js';
import {waitUntil} from '../wait_until/wait_until.js';
import type {DemoStep} from './demo_step.js';

const DATA_CENTRES = ['centro', 'serra', 'ribeira'] as const;
const SERVICE = 'outage-report';
const REQUEST_COUNT = 60;
const TASKS_PER_JOB = 24;
const LEAVE_WAIT_MS = 3_000;

/**
 * Shows the main functions on six instances in three data centres: requests, a
 * job, a release note, a target that leaves and an instance that is killed.
 */
class Demo {
  private readonly targets: TargetProcess[] = [];

  private constructor(private readonly cluster: Cluster) {}

  static async create(): Promise<Demo> {
    const members = DATA_CENTRES.flatMap(dataCentre => [
      {id: `${dataCentre}-1`, dataCentre, replica: true},
      {id: `${dataCentre}-2`, dataCentre, replica: false},
    ]);
    return new Demo(
      await Cluster.create(members, {timing: {drainDelayMs: 200}}),
    );
  }

  steps(): DemoStep[] {
    return [
      {
        name: 'six instances in three data centres',
        run: () => this.startInstances(),
      },
      {
        name: 'targets and workers announce themselves',
        run: () => this.startTargets(),
      },
      {name: 'requests', run: () => this.sendRequests()},
      {
        name: 'a request that may not be repeated, sent three times',
        run: () => this.sendDuplicateRequests(),
      },
      {name: 'a job', run: () => this.submitJob()},
      {name: 'a release note', run: () => this.applyReleaseNote()},
      {name: 'a target leaves', run: () => this.leaveTarget()},
      {
        name: 'an instance is killed while callers send requests',
        run: () => this.killInstance(),
      },
    ];
  }

  async close(): Promise<void> {
    this.targets.forEach(target => target.kill());
    await this.cluster.close();
  }

  private async startInstances(): Promise<string> {
    await this.cluster.startAll();
    return 'all ready, release log formed over three disks';
  }

  private async startTargets(): Promise<string> {
    for (const dataCentre of DATA_CENTRES) {
      const ports = this.cluster.callersPorts(dataCentre);
      for (const n of [1, 2]) {
        this.targets.push(
          await TargetProcess.create({
            targetId: `${dataCentre}-runner-${n}`,
            service: SERVICE,
            slots: 8,
            ports,
          }),
        );
      }
    }
    const ports = this.cluster.callersPorts('centro');
    for (const n of [1, 2]) {
      const worker = {
        rack: `rack-${n}`,
        cores: 32,
        memoryMb: 131_072,
        accelerators: 2,
      };
      this.targets.push(
        await TargetProcess.create({
          targetId: `worker-${n}`,
          service: 'load-forecast',
          slots: 32,
          ports,
          worker,
        }),
      );
    }
    await waitUntil(
      'each target is assigned to an instance',
      10_000,
      async () => (await this.countAssignedTargets()) === this.targets.length,
    );
    return `${this.targets.length} announced, each assigned to one instance of its data centre`;
  }

  private async countAssignedTargets(): Promise<number> {
    let assignedCount = 0;
    for (const {id} of this.cluster.members) {
      for (const path of ['/v1/targets', '/v1/workers']) {
        const {text} = await this.cluster.callOperatorApi(id, 'GET', path);
        const targets = Object.values(
          JSON.parse(text) as Record<string, Array<{keptHere: boolean}>>,
        ).flat();
        assignedCount += targets.filter(row => row.keptHere).length;
      }
    }
    return assignedCount;
  }

  private async sendRequests(): Promise<string> {
    const ports = this.cluster.callersPorts();
    const tags = Array.from({length: REQUEST_COUNT}, (_, i) => i);
    await Promise.all(
      tags.map(tag =>
        this.sendRepeatableRequest(ports[tag % ports.length]!, tag),
      ),
    );
    return `${REQUEST_COUNT} sent over all instances, ${REQUEST_COUNT} answered, each with its own answer`;
  }

  private async sendRepeatableRequest(
    port: number,
    tag: number,
  ): Promise<void> {
    const res = await this.send(port, {'papayarun-repeatable': 'true'}, tag);
    expectStatus(res, 200);
    if ((JSON.parse(res.text) as {tag: number}).tag !== tag) {
      throw new Error(
        `request ${tag} got the answer of another request: ${res.text}`,
      );
    }
  }

  private send(
    port: number,
    headers: Record<string, string>,
    tag: unknown,
  ): Promise<HttpResult> {
    return httpCall({
      port,
      method: 'POST',
      path: `/v1/services/${SERVICE}/tickets`,
      headers: {...headers, 'content-type': 'application/json'},
      body: JSON.stringify({runMs: 50, tag}),
      timeoutMs: 10_000,
    });
  }

  private async sendDuplicateRequests(): Promise<string> {
    const before = await this.countStarts();
    const id = `${await this.cluster.fetchIdPrefix('centro-1')}${randomUUID()}`;
    const ports = this.cluster.callersPorts();
    const results = await Promise.all(
      ports
        .slice(0, 3)
        .map(port => this.send(port, {'papayarun-id': id}, 'gift card')),
    );
    results.forEach(res => expectStatus(res, 200));
    const starts = (await this.countStarts()) - before;
    if (starts !== 1) {
      throw new Error(
        `a request with one id was started ${starts} times instead of once`,
      );
    }
    return 'three answers, one start';
  }

  private async countStarts(): Promise<number> {
    const counts = await Promise.all(
      this.targets.map(target => target.fetchStartCount()),
    );
    return counts.reduce((sum, n) => sum + n, 0);
  }

  private async submitJob(): Promise<string> {
    const id = `${await this.cluster.fetchIdPrefix('centro-1')}${randomUUID()}`;
    const task = {
      needs: {cores: 2, memoryMb: 4_096, accelerators: 0},
      runMs: 100,
    };
    const tasks = Array.from({length: TASKS_PER_JOB}, (_, tag) => ({
      ...task,
      input: {runMs: 100, tag},
    }));
    const res = await httpCall({
      port: this.cluster.callersPort('serra-1'),
      method: 'POST',
      path: '/v1/jobs?wait-ms=10000',
      body: JSON.stringify({id, service: 'load-forecast', tasks}),
    });
    expectStatus(res, 200);
    const {answers} = JSON.parse(res.text) as {answers: Array<{tag: number}>};
    if (
      !answers.every((answer, i) => answer.tag === i) ||
      answers.length !== TASKS_PER_JOB
    ) {
      throw new Error(res.text);
    }
    return `submitted in serra, run in centro: ${TASKS_PER_JOB} tasks, ${TASKS_PER_JOB} answers in order`;
  }

  private async applyReleaseNote(): Promise<string> {
    const note = {
      noteId: 'storm-season',
      base: 0,
      added: {
        'kind:hospital': {weight: 4},
        'kind:street-light': {weight: 1},
        'behaviour:reminders': 'text',
      },
    };
    const acceptedRes = await this.cluster.callOperatorApi(
      'ribeira-2',
      'POST',
      '/v1/releases',
      note,
    );
    expectStatus(acceptedRes, 200);
    const startedMs = performance.now();
    await waitUntil('the release is in force everywhere', 5_000, async () => {
      const all = await Promise.all(
        this.cluster.members.map(m => this.cluster.fetchStatus(m.id)),
      );
      return all.every(status => status['release'] === 1);
    });
    const elapsedMs = Math.round(performance.now() - startedMs);
    const conflictingRes = await this.cluster.callOperatorApi(
      'centro-1',
      'POST',
      '/v1/releases',
      {...note, noteId: 'late'},
    );
    expectStatus(conflictingRes, 409);
    return `accepted as release 1, in force everywhere ${elapsedMs} ms later; a concurrent note with the same base was refused`;
  }

  private async leaveTarget(): Promise<string> {
    const target = this.targets[0]!;
    target.announceLeaving();
    await sleep(LEAVE_WAIT_MS);
    const before = await target.fetchStartCount();
    await this.sendRequests();
    const after = await target.fetchStartCount();
    if (after !== before) {
      throw new Error(
        `${after - before} requests were sent to the target after it had left`,
      );
    }
    return `${REQUEST_COUNT} further requests, none sent to the target`;
  }

  private async killInstance(): Promise<string> {
    const ports = this.cluster
      .callersPorts()
      .filter(port => port !== this.cluster.callersPort('serra-1'));
    let answered = 0;
    let failed = 0;
    const callers = ports.map(async port => {
      for (let i = 0; i < REQUEST_COUNT; i++) {
        const res = await this.send(port, {'papayarun-repeatable': 'true'}, i);
        answered += res.status === 200 ? 1 : 0;
        failed += res.status === 200 ? 0 : 1;
      }
    });
    await sleep(500);
    await this.cluster.kill('serra-1');
    await Promise.all(callers);
    if (failed > 0) {
      throw new Error(`${failed} requests at the other instances failed`);
    }
    return `${answered} requests at the other instances, ${answered} answered`;
  }
}

function expectStatus(res: HttpResult, status: number): void {
  if (res.status !== status) {
    throw new Error(`unexpected status ${res.status}: ${res.text}`);
  }
}

function sleep(ms: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, ms));
}

async function main(): Promise<void> {
  const demo = await Demo.create();
  let failed = false;
  try {
    for (const step of demo.steps()) {
      process.stdout.write(`${step.name}: `);
      process.stdout.write(`${await step.run()}\n`);
    }
  } catch (err) {
    failed = true;
    process.stdout.write(`FAILED: ${(err as Error).message}\n`);
  } finally {
    await demo.close();
  }
  process.exit(failed ? 1 : 0);
}

await main();
