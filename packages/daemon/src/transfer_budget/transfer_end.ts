/**
 * Why a transfer was ended before its time.
 */
export type TransferEnd =
  /** Its memory was needed, and it was the slowest. */
  | 'evicted'
  /** Its connection was needed, and it was the slowest. */
  | 'displaced'
  /** It was below the minimum rate. */
  | 'tooSlow'
  /** Too many bodies came in very small pieces, and it was the slowest of them. */
  | 'fragmented';
