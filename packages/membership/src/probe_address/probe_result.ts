/**
 * Result of a connection attempt: a listener accepted it, nothing listens at the
 * address (`refused`), or neither is known.
 */
export type ProbeResult = 'accepted' | 'refused' | 'unknown';
