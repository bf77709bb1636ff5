import type {Brand} from '../brand/brand.js';

/**
 * Id of a replica's disk; a disk that was lost never returns under the same id.
 */
export type ReplicaId = Brand<string, 'ReplicaId'>;
