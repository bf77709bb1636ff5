import type {AddressInfo, Server, Socket} from 'node:net';
import {connect, createServer} from 'node:net';

const HOST = '127.0.0.1';

/**
 * What a relay does with a link.
 *
 * @description `pass`: carries bytes. `cut`: swallows them silently and keeps
 * the connections open. `oneWay`: carries bytes only towards the listener
 * behind it. `refuse`: resets connections.
 */
export type RelayMode = 'pass' | 'cut' | 'oneWay' | 'refuse';

/**
 * TCP relay that can cut, delay or half-open a link.
 */
export class Relay {
  mode: RelayMode = 'pass';
  delayMs = 0;
  private readonly sockets = new Set<Socket>();

  private constructor(
    private readonly server: Server,
    private readonly targetPort: () => number | undefined,
  ) {}

  /**
   * Listens on a port that the system picks.
   *
   * @param targetPort - Gives the port behind the relay; undefined while the
   *   process there is down.
   * @returns The relay.
   * @example
   * const relay = await Relay.create(() => port);
   */
  static async create(targetPort: () => number | undefined): Promise<Relay> {
    const server = createServer();
    const relay = new Relay(server, targetPort);
    server.on('connection', socket => relay.carry(socket));
    await new Promise<void>(resolve => server.listen(0, HOST, resolve));
    return relay;
  }

  get port(): number {
    return (this.server.address() as AddressInfo).port;
  }

  /** Ends all connections, so that they are made anew. */
  dropConnections(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
  }

  async close(): Promise<void> {
    this.dropConnections();
    await new Promise<void>(resolve => this.server.close(() => resolve()));
  }

  private carry(near: Socket): void {
    const port = this.targetPort();
    if (port === undefined || this.mode === 'refuse') {
      near.on('error', () => undefined);
      near.resetAndDestroy();
      return;
    }
    const far = connect(port, HOST);
    this.pipe(near, far, 'towards');
    this.pipe(far, near, 'back');
  }

  private pipe(from: Socket, to: Socket, direction: 'towards' | 'back'): void {
    this.sockets.add(from);
    from.setNoDelay(true);
    from.on('data', chunk => {
      const isLost =
        this.mode === 'cut' || (this.mode === 'oneWay' && direction === 'back');
      if (isLost) {
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
