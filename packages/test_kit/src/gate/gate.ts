/**
 * Suspends async callers of `pass()` while it is closed, such as the message
 * deliveries and sleeps of a process that a test has frozen.
 */
export class Gate {
  private whenOpened: Promise<void> | undefined;
  private resolveWhenOpened: (() => void) | undefined;

  private constructor() {}

  /**
   * Creates an open gate.
   *
   * @returns The gate.
   * @example
   * const gate = Gate.create();
   */
  static create(): Gate {
    return new Gate();
  }

  /** Suspends later calls of `pass()` until the gate opens. */
  close(): void {
    this.whenOpened ??= new Promise(resolve => {
      this.resolveWhenOpened = resolve;
    });
  }

  /** Resumes all suspended callers. */
  open(): void {
    this.resolveWhenOpened?.();
    this.whenOpened = undefined;
  }

  /** Resolves once the gate is open. */
  async pass(): Promise<void> {
    while (this.whenOpened) {
      await this.whenOpened;
    }
  }
}
