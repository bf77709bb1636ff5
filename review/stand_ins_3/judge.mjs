/* global performance */
// Keeps the record of what was sent, answered and run, and checks the rules that
// clients, runners and the platform can see.
import {appendFileSync, writeFileSync} from 'node:fs';
import {BOUNDS} from './system.mjs';

export class Judge {
  constructor(file) {
    this.file = file;
    this.startedAt = performance.now();
    this.jobs = new Map();
    this.running = new Map(); // task -> [{runner, run, atMs}]
    this.doneTasks = new Map(); // task -> time of the first done end
    this.upRunners = new Map(); // id -> runner stand-in
    this.drainAcks = new Map();
    this.routes = new Map(); // route name -> set of services
    this.broken = [];
    this.counts = {};
    if (file) {
      writeFileSync(file, '');
    }
  }

  now() {
    return Math.round(performance.now() - this.startedAt);
  }

  log(type, data) {
    this.counts[type] = (this.counts[type] ?? 0) + 1;
    if (this.file) {
      appendFileSync(
        this.file,
        `${this.now()} ${type} ${JSON.stringify(data)}\n`,
      );
    }
  }

  breaks(rule, data) {
    this.broken.push({rule, atMs: this.now(), ...data});
    this.log('BROKEN', {rule, ...data});
  }

  addJob(job) {
    this.jobs.set(job.id, {
      ...job,
      starts: 0,
      attempts: [],
      cancelAckMs: undefined,
    });
  }

  jobOf(task) {
    return this.jobs.get(task.split('.')[0]);
  }

  stepOf(task) {
    const [, , step] = task.split('.');
    return this.jobOf(task)?.steps[Number(step)];
  }

  onRunnerEvent(runner, type, data) {
    this.log(type, data);
    switch (type) {
      case 'start':
        this.onStart(runner, data);
        return;
      case 'end':
        this.onEnd(data);
        return;
      case 'drainAck':
        this.drainAcks.set(`${data.runner} ${runner.born}`, this.now());
        return;
    }
  }

  onStart(runner, {task, run, spec, isOver, isLate}) {
    const nowMs = this.now();
    const job = this.jobOf(task);
    const [, , stepNo, index] = task.split('.');
    if (
      !job ||
      !job.steps[stepNo] ||
      Number(index) >= job.steps[stepNo].count ||
      spec !== job.spec
    ) {
      this.breaks('UNASKED', {
        task,
        run,
        runner: runner.id,
        spec: spec === job?.spec ? 'as sent' : 'another',
      });
      return;
    }
    job.starts++;
    const others = this.running.get(task) ?? [];
    if (others.length > 0) {
      this.breaks('TWICE', {
        task,
        run,
        runner: runner.id,
        beside: others,
        isLate,
      });
    }
    const step = job.steps[stepNo];
    for (const s of step.after ?? []) {
      for (let n = 0; n < job.steps[s].count; n++) {
        if (!this.doneTasks.has(`${job.id}.0.${s}.${n}`)) {
          this.breaks('ORDER', {
            task,
            run,
            runner: runner.id,
            before: `${s}.${n}`,
          });
        }
      }
    }
    if (isOver && !runner.guards) {
      this.breaks('LIMIT', {
        task,
        run,
        runner: runner.id,
        running: [...runner.running.keys()],
      });
    }
    if (!this.routes.get(job.route)?.has(runner.service)) {
      this.breaks('ROUTE', {
        task,
        run,
        runner: runner.id,
        service: runner.service,
      });
    }
    if (step.requirements && !runner.labels.includes(step.requirements)) {
      this.breaks('ROUTE', {
        task,
        run,
        runner: runner.id,
        labels: runner.labels,
        needs: step.requirements,
      });
    }
    if (step.antiAffinity) {
      const same = [...runner.running.keys()].filter(t =>
        t.startsWith(`${job.id}.0.${stepNo}.`),
      );
      if (same.length > step.antiAffinity) {
        this.breaks('ROUTE', {
          task,
          run,
          runner: runner.id,
          antiAffinity: step.antiAffinity,
          same,
        });
      }
    }
    const drained = this.drainAcks.get(`${runner.id} ${runner.born}`);
    if (drained !== undefined && nowMs - drained > BOUNDS.drainMs && !isLate) {
      this.breaks('DRAIN', {
        task,
        run,
        runner: runner.id,
        afterMs: nowMs - drained,
      });
    }
    if (
      job.cancelAckMs !== undefined &&
      nowMs - job.cancelAckMs > BOUNDS.cancelMs &&
      !isLate
    ) {
      this.breaks('UNASKED', {
        task,
        run,
        runner: runner.id,
        afterCancelMs: nowMs - job.cancelAckMs,
      });
    }
    others.push({runner: runner.id, run, atMs: nowMs});
    this.running.set(task, others);
  }

  onEnd({runner, task, run, how}) {
    const left = (this.running.get(task) ?? []).filter(
      r => !(r.runner === runner && r.run === run),
    );
    if (left.length > 0) {
      this.running.set(task, left);
    } else {
      this.running.delete(task);
    }
    if (how === 'done' && !this.doneTasks.has(task)) {
      this.doneTasks.set(task, this.now());
    }
    const job = this.jobOf(task);
    if (
      job?.cancelAckMs !== undefined &&
      this.now() - job.cancelAckMs > BOUNDS.cancelMs + BOUNDS.stopMs + 50
    ) {
      this.breaks('UNASKED', {
        task,
        run,
        runner,
        ranOnAfterCancelMs: this.now() - job.cancelAckMs,
        how,
      });
    }
  }

  onAnswer(id, attempt, res, at) {
    const job = this.jobs.get(id);
    job.attempts.push(res.status);
    this.log('answer', {
      id,
      attempt,
      at,
      status: res.status,
      state: res.json?.state,
      reason: res.json?.reason,
      error: res.error,
    });
    if (res.status === 200 && res.json?.state === 'completed') {
      job.isCompleted = true;
      job.steps.forEach((step, s) => {
        for (let n = 0; n < step.count; n++) {
          if (!this.doneTasks.has(`${id}.0.${s}.${n}`)) {
            this.breaks('MIXED', {
              id,
              task: `${s}.${n}`,
              why: 'completed, but this task has not ended done',
            });
          }
        }
      });
    }
  }

  /** Called at the end of the run. */
  finish() {
    for (const job of this.jobs.values()) {
      const rejected =
        job.attempts.length > 0 &&
        job.attempts.every(
          s => s === 429 || s === 503 || s === 404 || s === 400,
        );
      if (rejected && job.starts > 0) {
        this.breaks('REFUSED', {
          id: job.id,
          attempts: job.attempts,
          starts: job.starts,
        });
      }
    }
  }
}
