/**
 * Signal that aborts with the first of several others.
 *
 * @description Unlike `AbortSignal.any` it leaves nothing behind at a source
 * that lives long, once `dispose` was called.
 */
export class MergedSignal {
  private readonly controller = new AbortController();
  private readonly undo: Array<() => void> = [];

  private constructor() {}

  static create(sources: readonly AbortSignal[]): MergedSignal {
    const merged = new MergedSignal();
    for (const source of sources) {
      merged.follow(source);
    }
    return merged;
  }

  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /** Aborts after a time, unless disposed before; the reason is made then. */
  abortAfter(ms: number, reasonOf: () => Error): void {
    const timer = setTimeout(() => this.controller.abort(reasonOf()), ms);
    this.undo.push(() => clearTimeout(timer));
  }

  abort(reason: Error): void {
    this.controller.abort(reason);
  }

  /** Stops following the sources. */
  dispose(): void {
    for (const undo of this.undo.splice(0)) {
      undo();
    }
  }

  private follow(source: AbortSignal): void {
    const abort = (): void => this.controller.abort(source.reason);
    if (source.aborted) {
      abort();
      return;
    }
    source.addEventListener('abort', abort, {once: true});
    this.undo.push(() => source.removeEventListener('abort', abort));
  }
}
