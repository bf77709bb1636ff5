import type {
  DataCentreId,
  ServiceId,
  TargetId,
  TargetReport,
} from '@papayarun/protocol';
import {CORES} from './simulation_values.js';

/** First report of an emulated target. */
export function reportOf(targetId: TargetId): TargetReport {
  return {
    targetId,
    bornMs: 1,
    sequence: 1,
    state: 'ready',
    service: 'falhas' as ServiceId,
    dataCentre: 'centro' as DataCentreId,
    host: '127.0.0.1',
    port: 1,
    capacity: {cores: CORES, memoryMb: 1_024, accelerators: 0},
    labels: [],
  };
}
