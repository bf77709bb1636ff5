import type {IncomingMessage} from 'node:http';
import {DispatchError} from '@papayarun/protocol';
import {GrowingBuffer} from '../growing_buffer/growing_buffer.js';
import type {SegmentPool} from '../growing_buffer/segment_pool.js';
import type {Transfer} from '../transfer_budget/transfer.js';
import {overloadedError} from './overloaded_error.js';

/**
 * Options of `readBody`.
 */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Memory that the request takes beside its body, in bytes. */
  readonly baseBytes: number;
  readonly transfer: Transfer;
  /** Memory for large bodies. */
  readonly pool: SegmentPool;
  /** Called for each piece that arrives, also for those that are discarded. */
  readonly onPiece: () => void;
  /** Aborts, with an error, if the body is no longer wanted. */
  readonly signal: AbortSignal;
  /** Called if there is no memory for the body. */
  readonly onRefused: () => void;
}

/**
 * Reads the body of a request into one buffer.
 *
 * @description After an error, what still arrives is read and discarded, so that
 * the client can send it all and read the answer.
 * @param raw - Request whose body has not been read.
 * @param opts - Limits, and what to do when they are reached.
 * @returns The body.
 * @throws DispatchError with `notRun` if the body is too large, there is no memory
 *   for it or it does not end.
 * @example
 * const body = await readBody(raw, opts);
 */
export function readBody(
  raw: IncomingMessage,
  opts: ReadBodyOptions,
): Promise<Buffer> {
  const {maxBytes, baseBytes, transfer, signal} = opts;
  const body = GrowingBuffer.create(maxBytes, opts.pool);
  let isWanted = true;
  let reservedCapacity = 0;
  /** Whether there is memory; asked only when the buffer grows. */
  const reserve = (capacity: number): boolean => {
    if (capacity === reservedCapacity) {
      return true;
    }
    reservedCapacity = capacity;
    return transfer.reserve(baseBytes + capacity);
  };
  return new Promise((resolve, reject) => {
    const fail = (err: unknown): void => {
      if (isWanted) {
        isWanted = false;
        body.clear();
        transfer.force(baseBytes);
        reject(err as Error);
      }
    };
    const keep = (piece: Buffer): void => {
      const capacity = body.capacityFor(piece.length);
      if (capacity === undefined) {
        fail(tooLarge(maxBytes));
      } else if (reserve(capacity)) {
        body.append(piece);
        transfer.received(piece.length);
      } else if (isWanted) {
        opts.onRefused();
        fail(overloadedError('no memory for the body'));
      }
    };
    signal.addEventListener('abort', () => fail(signal.reason), {once: true});
    if (signal.aborted) {
      fail(signal.reason);
    }
    raw.on('data', (piece: Buffer) => {
      opts.onPiece();
      if (isWanted) {
        keep(piece);
      }
    });
    raw.on('end', () => {
      if (isWanted) {
        isWanted = false;
        const bytes = body.take();
        transfer.force(baseBytes + bytes.length);
        resolve(bytes);
      }
    });
    raw.on('error', fail);
    raw.on('close', () => {
      if (!raw.complete) {
        fail(
          DispatchError.notRun(
            'cancelled',
            'the connection closed before the request was complete',
          ),
        );
      }
    });
  });
}

function tooLarge(maxBytes: number): DispatchError {
  const message = `the body exceeds ${maxBytes} bytes`;
  return DispatchError.notRun('tooLarge', message, {field: 'body'});
}
