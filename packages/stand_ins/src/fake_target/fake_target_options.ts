/**
 * Options of a stand-in target.
 */
export interface FakeTargetOptions {
  readonly targetId: string;
  readonly service: string;
  readonly slots: number;
  /**
   * Returns the ports of the instances that receive announcements, in rotation.
   */
  readonly announcePorts: () => readonly number[];
  /** Interval between two announcements in milliseconds; 1,000 by default. */
  readonly announceMs?: number;
  /** Rack and capacity; present only if the target is a worker. */
  readonly worker?: {
    readonly rack: string;
    readonly cores: number;
    readonly memoryMb: number;
    readonly accelerators: number;
  };
}
