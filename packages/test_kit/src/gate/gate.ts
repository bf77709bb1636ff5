/**
 * Holds tasks back while it is closed.
 */
export class Gate {
  private opened: Promise<void> | undefined;
  private release: (() => void) | undefined;

  private constructor() {}

  /**
   * Makes an open gate.
   *
   * @returns The gate.
   * @example
   * const gate = Gate.create();
   */
  static create(): Gate {
    return new Gate();
  }

  close(): void {
    this.opened ??= new Promise(resolve => {
      this.release = resolve;
    });
  }

  open(): void {
    this.release?.();
    this.opened = undefined;
  }

  /** Resolves once the gate is open. */
  async pass(): Promise<void> {
    while (this.opened) {
      await this.opened;
    }
  }
}
