import type {WorkQueue} from './work_queue.js';

/**
 * Finds queues by host and path.
 */
export class QueueTable {
  private readonly byHost = new Map<string, WorkQueue[]>();

  private constructor() {}

  /**
   * Creates a table of queues.
   *
   * @param queues - All queues of a configuration.
   * @returns The table.
   * @example
   * const table = QueueTable.create(queues);
   */
  static create(queues: readonly WorkQueue[]): QueueTable {
    const table = new QueueTable();
    for (const queue of queues) {
      const host = queue.host.toLowerCase();
      const hostQueues = table.byHost.get(host);
      if (hostQueues) {
        hostQueues.push(queue);
      } else {
        table.byHost.set(host, [queue]);
      }
    }
    for (const hostQueues of table.byHost.values()) {
      hostQueues.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
    }
    return table;
  }

  /**
   * Finds the queue of a host with the longest prefix of a path.
   *
   * @param host - Host of the request, without a port.
   * @param path - Path of the request.
   * @returns The queue, or undefined when there is none.
   */
  find(host: string, path: string): WorkQueue | undefined {
    return this.byHost
      .get(host.toLowerCase())
      ?.find(queue => path.startsWith(queue.pathPrefix));
  }
}
