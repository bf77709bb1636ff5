const MAX_TOKENS = 20;
const START_TOKENS = 5;

/**
 * Bounds extra sends to a part of the first sends.
 */
export class RetryBudget {
  private tokens = START_TOKENS;

  private constructor(private readonly ratio: number) {}

  /**
   * Makes a budget.
   *
   * @param ratio - Extra sends for each first send, 0.1 for 10 %.
   * @returns The budget.
   * @example
   * const budget = RetryBudget.create(0.1);
   */
  static create(ratio: number): RetryBudget {
    return new RetryBudget(ratio);
  }

  /** Counts a first send. */
  deposit(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.ratio);
  }

  /** Takes one extra send, if the budget allows it. */
  take(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
