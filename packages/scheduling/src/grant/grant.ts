/**
 * Grant of a shard, while a scheduler holds it.
 */
export class Grant {
  private heldToken: number | undefined;
  private controller = new AbortController();
  private heldSinceMs = -Infinity;
  private firstHandoverMs: number | undefined;

  private constructor() {}

  /**
   * Creates the record of a grant that is not held.
   *
   * @returns The record.
   * @example
   * const grant = Grant.create();
   * grant.begin(7, clock.now());
   */
  static create(): Grant {
    return new Grant();
  }

  /** Fencing token of the current grant; undefined without one. */
  get token(): number | undefined {
    return this.heldToken;
  }

  /** Aborted when the grant ends. */
  get ending(): AbortSignal {
    return this.controller.signal;
  }

  /** Monotonic time at which the latest grant began, in milliseconds. */
  get beganMs(): number {
    return this.heldSinceMs;
  }

  /** Monotonic time at which the first job was handed over under this grant. */
  get handedOverMs(): number | undefined {
    return this.firstHandoverMs;
  }

  /**
   * Begins a grant.
   *
   * @param token - Its fencing token.
   * @param nowMs - Monotonic time in milliseconds.
   */
  begin(token: number, nowMs: number): void {
    this.controller = new AbortController();
    this.heldToken = token;
    this.heldSinceMs = nowMs;
    this.firstHandoverMs = undefined;
  }

  /** Ends the grant. */
  end(): void {
    this.heldToken = undefined;
    this.controller.abort();
  }

  /** Records that a job of an earlier scheduler was handed over. */
  recordHandover(nowMs: number): void {
    this.firstHandoverMs ??= nowMs;
  }
}
