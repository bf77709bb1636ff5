import type {
  JobId,
  KindId,
  ScheduledJob,
  ServiceId,
  TargetId,
  TaskId,
} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {createJobRecord} from './create_job_record.js';

const JOB: ScheduledJob = {
  id: '5c0e7a21d94b36f8' as JobId,
  kind: 'relato' as KindId,
  service: 'falhas' as ServiceId,
  spec: '',
  steps: [
    {
      count: 3,
      firstIndex: 2,
      needs: {cores: 1, memoryMb: 1, accelerators: 0},
      estimateMs: 60,
      after: [],
    },
  ],
  priority: 0,
  maxAttempts: 1,
  stretch: 1.6,
  slackMs: 60,
  ageMs: 10,
  leftMs: 1_000,
  isPromised: false,
};

describe('createJobRecord', () => {
  it('numbers the tasks of a part by their index in the whole job', () => {
    const record = createJobRecord(JOB, [60], 1, 66, 0);
    expect(record.tasks.map(task => task.taskId)).toEqual([
      '5c0e7a21d94b36f8.0.0.2',
      '5c0e7a21d94b36f8.0.0.3',
      '5c0e7a21d94b36f8.0.0.4',
    ]);
    expect(record.objectiveAtMs).toBeCloseTo(1.6 * 60 + 60 - 10);
    expect(record.hasStarted).toBe(false);
  });

  it('extends the objective of a wide step by the waves that it needs', () => {
    const record = createJobRecord(JOB, [60], 1, 8, 0);
    expect(record.objectiveAtMs).toBeCloseTo(1.6 * 120 + 60 - 10);
  });

  it('restores the tasks that an earlier scheduler placed', () => {
    const placed = [
      {
        taskId: '5c0e7a21d94b36f8.0.0.2' as TaskId,
        targetId: 't1' as TargetId,
        run: 4,
        isDone: true,
      },
      {
        taskId: '5c0e7a21d94b36f8.0.0.3' as TaskId,
        targetId: 't2' as TargetId,
        run: 1,
        isDone: false,
      },
    ];
    const record = createJobRecord({...JOB, placed}, [60], 1, 66, 0);
    expect(record.tasks.map(task => task.state)).toEqual([
      'done',
      'claimed',
      'waiting',
    ]);
    expect(record.tasks[1]!.nextRunNumber).toBe(2);
    expect(record.hasStarted).toBe(true);
  });
});
