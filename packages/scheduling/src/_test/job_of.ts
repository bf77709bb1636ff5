import type {JobId, KindId, ScheduledJob, ServiceId} from '@papayarun/protocol';
import {NEEDS} from './simulation_values.js';

/** Job with one step of four tasks. */
export function jobOf(
  n: number,
  overrides: Partial<ScheduledJob> = {},
): ScheduledJob {
  return {
    id: n.toString(16).padStart(16, '0') as JobId,
    kind: 'relato' as KindId,
    service: 'falhas' as ServiceId,
    spec: '',
    steps: [
      {
        count: 4,
        firstIndex: 0,
        needs: NEEDS,
        estimateMs: 60,
        after: [],
      },
    ],
    priority: 0,
    maxAttempts: 4,
    stretch: 1.6,
    slackMs: 60,
    ageMs: 0,
    leftMs: 3_000,
    isPromised: false,
    ...overrides,
  };
}
