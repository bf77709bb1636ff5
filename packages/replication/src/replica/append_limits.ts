/**
 * Most entries in one append request or one write, and the bytes of commands after
 * which it gets no further entry, so that it fits into a frame and into the
 * election timeout.
 */
export const APPEND_LIMITS = {maxEntries: 128, maxBytes: 1024 * 1024} as const;
