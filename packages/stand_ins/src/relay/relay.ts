import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

const HOST = '127.0.0.1';

/**
 * How a relay treats the traffic of a link.
 *
 * @description `pass`: forwards all bytes. `cut`: silently drops all bytes and
 * keeps the connections open. `oneWay`: forwards bytes only to the destination
 * and drops the replies. `refuse`: resets new connections.
 */
export type RelayMode = 'pass' | 'cut' | 'oneWay' | 'refuse';

/**
 * TCP relay that injects network faults into a link: partitions, one-way
 * partitions, delays and refused connections.
 */
export class Relay {
  mode: RelayMode = 'pass';
  /** Delay added to each chunk, in milliseconds. */
  delayMs = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly destinationPort: () => number | undefined,
  ) {}

  /**
   * Starts a relay on a port that the operating system assigns.
   *
   * @param destinationPort - Returns the port of the destination; undefined
   *   while its process is down.
   * @returns The listening relay.
   * @example
   * const relay = await Relay.create(() => port);
   */
  static async create(
    destinationPort: () => number | undefined,
  ): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server, destinationPort);
    server.on('connection', socket => relay.handleConnection(socket));
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    return relay;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Closes all connections, so that the peers reconnect. */
  dropConnections(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  async close(): Promise<void> {
    this.dropConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private handleConnection(clientSocket: Socket): void {
    const port = this.destinationPort();
    if (port === undefined || this.mode === 'refuse') {
      clientSocket.on('error', () => undefined);
      clientSocket.resetAndDestroy();
      return;
    }
    const destinationSocket = connect(port, HOST);
    this.forward(clientSocket, destinationSocket, 'toDestination');
    this.forward(destinationSocket, clientSocket, 'toClient');
  }

  private forward(
    from: Socket,
    to: Socket,
    direction: 'toDestination' | 'toClient',
  ): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', chunk => {
      const isDropped =
        this.mode === 'cut' ||
        (this.mode === 'oneWay' && direction === 'toClient');
      if (isDropped) {
        return;
      }
      if (this.delayMs === 0) {
        to.write(chunk);
        return;
      }
      setTimeout(() => to.write(chunk), this.delayMs);
    });
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
  }
}
