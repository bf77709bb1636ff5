/** Upper limit of saved tokens, which bounds a burst of extra sends. */
const MAX_TOKENS = 20;
/** Tokens of a new budget. */
const INITIAL_TOKENS = 5;

/**
 * Token budget that limits extra sends to a fraction of the first sends.
 */
export class RetryBudget {
  private tokens = INITIAL_TOKENS;

  private constructor(private readonly ratio: number) {}

  /**
   * Creates a budget.
   *
   * @param ratio - Extra sends allowed per first send; 0.1 allows 10 %.
   * @returns The budget.
   * @example
   * const budget = RetryBudget.create(0.1);
   */
  static create(ratio: number): RetryBudget {
    return new RetryBudget(ratio);
  }

  /** Adds the tokens of one first send. */
  deposit(): void {
    this.tokens = Math.min(MAX_TOKENS, this.tokens + this.ratio);
  }

  /** Withdraws the token of one extra send; returns false if there is none. */
  tryWithdraw(): boolean {
    if (this.tokens < 1) {
      return false;
    }
    this.tokens -= 1;
    return true;
  }
}
