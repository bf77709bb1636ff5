import type {RandomSource} from '@papayarun/protocol';
import {SeededRandom} from '@papayarun/protocol';
import type {FakeTarget} from '../fake_target/fake_target.js';
import type {Fleet} from './fleet.js';
import {httpCall} from '../http_call/http_call.js';
import type {LoadSpec} from './load_spec.js';
import type {SendOutcome} from './send_outcome.js';

/** FIFO queue in front of one target. */
interface TargetQueue {
  readonly target: FakeTarget;
  readonly waiters: Array<() => void>;
  busySlots: number;
}

/**
 * Baseline of the benches: random choice of a target with a FIFO queue each.
 *
 * @description Requests go straight to the target without the hop through an
 * instance, which favours the baseline.
 */
export class RandomFifoBaseline {
  private readonly queues: TargetQueue[];
  private readonly random: RandomSource = SeededRandom.create(1);

  private constructor(
    private readonly fleet: Fleet,
    private readonly slots: number,
  ) {
    this.queues = fleet.targets.map(target => ({
      target,
      waiters: [],
      busySlots: 0,
    }));
  }

  static create(fleet: Fleet, slots: number): RandomFifoBaseline {
    return new RandomFifoBaseline(fleet, slots);
  }

  /**
   * Sends one request straight to a random target, after the requests that
   * already wait for that target.
   */
  async send(spec: LoadSpec, runMs: number, n: number): Promise<SendOutcome> {
    const queue =
      this.queues[Math.floor(this.random.next() * this.queues.length)]!;
    const endMs = performance.now() + spec.deadlineMs;
    if (queue.busySlots >= this.slots) {
      await new Promise<void>(resolve => queue.waiters.push(resolve));
    } else {
      queue.busySlots++;
    }
    try {
      if (performance.now() + runMs > endMs) {
        return 'notRun';
      }
      const res = await httpCall({
        port: queue.target.port,
        method: 'POST',
        path: '/run',
        headers: {'papayarun-request-id': `${spec.kind}-${n}`},
        body: JSON.stringify({runMs}),
        agent: this.fleet.agent,
      });
      return res.status === 200 ? 'answered' : 'failed';
    } finally {
      const startNext = queue.waiters.shift();
      if (startNext) {
        startNext();
      } else {
        queue.busySlots--;
      }
    }
  }
}
