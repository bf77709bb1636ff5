/**
 * How a stand-in target behaves.
 */
export interface FakeTargetOptions {
  readonly targetId: string;
  readonly service: string;
  readonly slots: number;
  /** Ports of instances that it announces itself to, one at a time in turn. */
  readonly announcePorts: () => readonly number[];
  readonly announceMs?: number;
  /** Present for a worker. */
  readonly worker?: {
    readonly rack: string;
    readonly cores: number;
    readonly memoryMb: number;
    readonly accelerators: number;
  };
}
