import type {Transfer} from './transfer.js';
import type {TransferEnd} from './transfer_end.js';

/** Size up to which a request may take memory that is kept from larger ones, in bytes. */
const SMALL_BYTES = 24 * 1024;
/** Share of the budget that requests above `SMALL_BYTES` have together. */
const LARGE_SHARE = 0.75;
/** Age from which a transfer may be ended for another one, in ms; most are whole before. */
const MIN_EVICTION_AGE_MS = 100;
/** Time that a transfer of any size has, in milliseconds. */
const BASE_TIME_MS = 10_000;
/** Rate from which a transfer may take longer, in bytes per millisecond (64 KiB/s). */
const MIN_RATE = 64;
/** A body is fragmented if it comes in many pieces that are small on average. */
const FRAGMENTED_PIECES = 4_096;
const FRAGMENTED_PIECE_BYTES = 64;
/** Fragmented bodies at a time; each piece costs about a microsecond. */
const MAX_FRAGMENTED = 4;

type Phase = 'receiving' | 'handling' | 'sending';

/**
 * Memory for the bodies of all requests in progress in a process, without I/O.
 *
 * @description Requests above 24 KiB have three quarters of it, so that they can't
 * lock out small ones. When it is used up, the slowest transfer that waits for its
 * client is ended, and a request that would need more than that is refused.
 */
export class TransferBudget {
  private readonly transfers = new Set<BudgetedTransfer>();
  private usedBytes = 0;
  private largeBytes = 0;
  private fragmented = 0;

  private constructor(
    private readonly totalBytes: number,
    private readonly now: () => number,
  ) {}

  /**
   * Creates an unused budget.
   *
   * @param totalBytes - Memory of all transfers, in bytes.
   * @param now - Monotonic clock in milliseconds.
   * @returns The budget.
   * @throws Never.
   * @example
   * const budget = TransferBudget.create(20 * 1024 * 1024, () => clock.now());
   */
  static create(totalBytes: number, now: () => number): TransferBudget {
    return new TransferBudget(totalBytes, now);
  }

  /** Memory that the transfers take, in bytes. */
  get bytesInUse(): number {
    return this.usedBytes;
  }

  /**
   * Adds a transfer, which receives a body and takes no memory yet.
   *
   * @param owner - Listener of the request.
   * @param onEnd - Called if the transfer is ended; its memory is given back by then.
   * @returns The transfer.
   */
  start(owner: object, onEnd: (cause: TransferEnd) => void): Transfer {
    const transfer = new BudgetedTransfer(this, owner, this.now(), onEnd);
    this.transfers.add(transfer);
    return transfer;
  }

  /** Ends the transfers that are below the minimum rate; call it about once a second. */
  endSlow(): void {
    const nowMs = this.now();
    for (const transfer of [...this.transfers]) {
      const limitMs = BASE_TIME_MS + transfer.movedBytes / MIN_RATE;
      if (
        transfer.phase !== 'handling' &&
        nowMs - transfer.sinceMs > limitMs &&
        this.transfers.has(transfer)
      ) {
        this.end(transfer, 'tooSlow');
      }
    }
  }

  /**
   * Ends the slowest transfer of a certain age, so that its connection is free.
   *
   * @param owner - Listener of the transfer.
   * @param minAgeMs - Age in milliseconds.
   * @returns Whether there was one.
   */
  endSlowest(owner: object, minAgeMs: number): boolean {
    const isOwned = (other: BudgetedTransfer): boolean => other.owner === owner;
    const slowest = this.findSlowest(minAgeMs, isOwned);
    if (slowest) {
      this.end(slowest, 'displaced');
    }
    return slowest !== undefined;
  }

  /** Changes the size of a transfer if that can be made to fit. */
  resize(transfer: BudgetedTransfer, bytes: number): boolean {
    if (!this.transfers.has(transfer)) {
      return false;
    }
    if (bytes > transfer.reservedBytes && !this.makeRoom(transfer, bytes)) {
      return false;
    }
    this.setSize(transfer, bytes);
    return true;
  }

  setSize(transfer: BudgetedTransfer, bytes: number): void {
    if (!this.transfers.has(transfer)) {
      return;
    }
    this.usedBytes += bytes - transfer.reservedBytes;
    this.largeBytes += largePart(bytes) - largePart(transfer.reservedBytes);
    transfer.reservedBytes = bytes;
  }

  setFragmented(transfer: BudgetedTransfer): void {
    transfer.isFragmented = true;
    this.fragmented++;
    if (this.fragmented > MAX_FRAGMENTED) {
      const slowest = this.findSlowest(0, other => other.isFragmented);
      if (slowest) {
        this.end(slowest, 'fragmented');
      }
    }
  }

  clearFragmented(transfer: BudgetedTransfer): void {
    this.fragmented -= Number(transfer.isFragmented);
    transfer.isFragmented = false;
  }

  remove(transfer: BudgetedTransfer): void {
    this.setSize(transfer, 0);
    this.clearFragmented(transfer);
    this.transfers.delete(transfer);
  }

  /** Time at which a phase of a transfer starts, in milliseconds. */
  nowMs(): number {
    return this.now();
  }

  private makeRoom(transfer: BudgetedTransfer, bytes: number): boolean {
    const added = bytes - transfer.reservedBytes;
    const addedLarge = largePart(bytes) - largePart(transfer.reservedBytes);
    const largeLimit = this.totalBytes * LARGE_SHARE;
    for (;;) {
      const isLargeFull =
        addedLarge > 0 && this.largeBytes + addedLarge > largeLimit;
      if (!isLargeFull && this.usedBytes + added <= this.totalBytes) {
        return true;
      }
      const slowest = this.findSlowest(
        MIN_EVICTION_AGE_MS,
        other =>
          other !== transfer &&
          (!isLargeFull || largePart(other.reservedBytes) > 0),
      );
      if (!slowest) {
        return false;
      }
      this.end(slowest, 'evicted');
    }
  }

  private findSlowest(
    minAgeMs: number,
    isCandidate: (transfer: BudgetedTransfer) => boolean,
  ): BudgetedTransfer | undefined {
    const nowMs = this.now();
    let slowest: BudgetedTransfer | undefined;
    let slowestRate = Infinity;
    for (const transfer of this.transfers) {
      const ageMs = nowMs - transfer.sinceMs;
      const rate = transfer.movedBytes / Math.max(1, ageMs);
      if (
        transfer.phase !== 'handling' &&
        ageMs >= minAgeMs &&
        rate < slowestRate &&
        isCandidate(transfer)
      ) {
        slowest = transfer;
        slowestRate = rate;
      }
    }
    return slowest;
  }

  private end(transfer: BudgetedTransfer, cause: TransferEnd): void {
    this.remove(transfer);
    transfer.onEnd(cause);
  }
}

class BudgetedTransfer implements Transfer {
  reservedBytes = 0;
  movedBytes = 0;
  isFragmented = false;
  phase: Phase = 'receiving';
  private pieces = 0;

  constructor(
    private readonly budget: TransferBudget,
    readonly owner: object,
    /** Start of the phase, in milliseconds. */
    public sinceMs: number,
    readonly onEnd: (cause: TransferEnd) => void,
  ) {}

  reserve(bytes: number): boolean {
    return this.budget.resize(this, bytes);
  }

  force(bytes: number): void {
    this.budget.setSize(this, bytes);
  }

  received(bytes: number): void {
    this.movedBytes += bytes;
    this.pieces++;
    if (
      this.pieces === FRAGMENTED_PIECES &&
      this.movedBytes < this.pieces * FRAGMENTED_PIECE_BYTES
    ) {
      this.budget.setFragmented(this);
    }
  }

  startHandling(): void {
    this.phase = 'handling';
    this.budget.clearFragmented(this);
  }

  startSending(bytes: number): void {
    this.phase = 'sending';
    this.sinceMs = this.budget.nowMs();
    this.movedBytes = bytes;
  }

  release(): void {
    this.budget.remove(this);
  }
}

/** Size if it is that of a large request, else 0. */
function largePart(bytes: number): number {
  return bytes > SMALL_BYTES ? bytes : 0;
}
