import type {OpenConnections} from './open_connections.js';

/**
 * Work in one turn of the event loop, in pieces of bodies, after which reading stops
 * until the next turn; about a tenth of a second. Non-pipelining clients don't reach
 * it: they have one request each on at most 3,000 connections.
 */
const MAX_PIECES = 65_536;
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
  ) {}

  /**
   * Creates the bound of a server.
   *
   * @param connections - Connections of the server.
   * @returns The bound.
   * @throws Never.
   * @example
   * const turn = ReadingTurn.create(connections);
   */
  static create(
    connections: Pick<OpenConnections, 'pause' | 'resume'>,
  ): ReadingTurn {
    return new ReadingTurn(connections);
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
    if (this.pieces >= MAX_PIECES && !this.isPaused) {
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
