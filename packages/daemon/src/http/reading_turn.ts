import type {OpenConnections} from './open_connections.js';

/**
 * Least work in one turn of the event loop, in pieces of bodies, after which reading
 * stops until the next turn; about a tenth of a second.
 */
const MIN_PIECES = 65_536;
/**
 * Work for each connection. A request and its body in up to 16 pieces fit, so that all
 * that has arrived from clients with one request each is read in one turn.
 */
const PIECES_PER_CONNECTION = 32;
/** Work of a request, in pieces of bodies. */
const PIECES_PER_REQUEST = 16;

/**
 * Bounds what a server reads in one turn of the event loop, so that many small pieces
 * and pipelined requests that have arrived at once neither take all memory nor keep
 * the process from its other work.
 */
export class ReadingTurn {
  private pieces = 0;
  private isPaused = false;
  private isResetDue = false;

  private constructor(
    private readonly connections: Pick<OpenConnections, 'pause' | 'resume'>,
    private readonly maxPieces: number,
  ) {}

  /**
   * Creates the bound of a server.
   *
   * @param connections - Connections of the server.
   * @param maxConnections - Largest number of them.
   * @returns The bound.
   * @throws Never.
   * @example
   * const turn = ReadingTurn.create(connections, 3_000);
   */
  static create(
    connections: Pick<OpenConnections, 'pause' | 'resume'>,
    maxConnections: number,
  ): ReadingTurn {
    const pieces = maxConnections * PIECES_PER_CONNECTION;
    return new ReadingTurn(connections, Math.max(MIN_PIECES, pieces));
  }

  /** Notes that a request has arrived. */
  addRequest(): void {
    this.add(PIECES_PER_REQUEST);
  }

  /** Notes that a piece of a body has arrived. */
  addPiece(): void {
    this.add(1);
  }

  private add(pieces: number): void {
    this.pieces += pieces;
    if (!this.isResetDue) {
      this.isResetDue = true;
      setImmediate(() => this.reset());
    }
    if (this.pieces >= this.maxPieces && !this.isPaused) {
      this.isPaused = true;
      this.connections.pause();
    }
  }

  private reset(): void {
    this.pieces = 0;
    this.isResetDue = false;
    if (this.isPaused) {
      this.isPaused = false;
      this.connections.resume();
    }
  }
}
