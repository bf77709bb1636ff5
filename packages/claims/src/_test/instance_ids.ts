import type {InstanceId} from '@papayarun/protocol';

/** Instances of the simulated data centre. */
export const INSTANCE_IDS = ['a', 'b', 'c'] as InstanceId[];
