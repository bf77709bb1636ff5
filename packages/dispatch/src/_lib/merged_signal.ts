/**
 * Signal that aborts as soon as the first of several sources aborts.
 *
 * @description Unlike `AbortSignal.any` it leaves no listener at a long-lived
 * source once `dispose` was called.
 */
export class MergedSignal {
  private readonly controller = new AbortController();
  private readonly cleanups: Array<() => void> = [];

  private constructor() {}

  static create(sources: readonly AbortSignal[]): MergedSignal {
    const merged = new MergedSignal();
    for (const source of sources) {
      merged.addSource(source);
    }
    return merged;
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Aborts after a time in milliseconds, unless disposed before; the reason is
   * created only then.
   */
  abortAfter(ms: number, reasonOf: () => Error): void {
    const timer = setTimeout(() => this.controller.abort(reasonOf()), ms);
    this.cleanups.push(() => clearTimeout(timer));
  }

  abort(reason: Error): void {
    this.controller.abort(reason);
  }

  /** Removes the listeners from the sources and clears the timers. */
  dispose(): void {
    for (const cleanup of this.cleanups.splice(0)) {
      cleanup();
    }
  }

  private addSource(source: AbortSignal): void {
    const abort = (): void => this.controller.abort(source.reason);
    if (source.aborted) {
      abort();
      return;
    }
    source.addEventListener('abort', abort, {once: true});
    this.cleanups.push(() => source.removeEventListener('abort', abort));
  }
}
