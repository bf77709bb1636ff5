import type {
  DataCentreId,
  InstanceId,
  JobId,
  KindId,
  ScheduledJob,
  ServiceId,
} from '@papayarun/protocol';

export const RUN_MS = 400;
/** Entry instances that schedule the shard of their data centre. */
export const SCHEDULERS = ['centro-1', 'serra-1'] as InstanceId[];
export const OTHER_ENTRIES = ['centro-2', 'serra-2'] as InstanceId[];
export const STATE_INSTANCES = ['centro-state', 'serra-state'] as InstanceId[];
export const CENTRO = 'centro' as DataCentreId;
export const SERRA = 'serra' as DataCentreId;
/** Needs of each task of the job; a target has room for two. */
export const NEEDS = {cores: 14, memoryMb: 64, accelerators: 0};
export const JOB: ScheduledJob = {
  id: '5c0e7a21d94b36f8' as JobId,
  kind: 'relato' as KindId,
  service: 'falhas' as ServiceId,
  spec: '',
  steps: [{count: 2, firstIndex: 0, needs: NEEDS, estimateMs: 400, after: []}],
  priority: 0,
  maxAttempts: 4,
  stretch: 1.6,
  slackMs: 60,
  ageMs: 0,
  leftMs: 8_000,
  isPromised: true,
};
