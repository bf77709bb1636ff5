/** Separates the data centre from the index in the id of a shard. */
export const SHARD_SEPARATOR = '#';
