import {decodeMessage} from '@papayarun/protocol';
import type {Frame} from './frame.js';

/**
 * Decodes and validates a frame.
 *
 * @param bytes - One WebSocket message.
 * @returns The frame.
 * @throws Error when the bytes aren't a valid frame.
 */
export function parseFrame(bytes: Uint8Array): Frame {
  const value = decodeMessage(bytes);
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new Error('frame: expected a map');
  }
  const frame = value as Record<string, unknown>;
  const {f, id, type, message, body} = frame;
  const hasId = typeof id === 'number' && Number.isSafeInteger(id);
  if (f === 'note' && typeof type === 'string') {
    return {f, type, body};
  }
  if (f === 'call' && hasId && typeof type === 'string') {
    return {f, id, type, body};
  }
  if (f === 'reply' && hasId) {
    return {f, id, body};
  }
  if (f === 'fail' && hasId && typeof message === 'string') {
    return {f, id, message};
  }
  throw new Error('frame: unknown kind or field of a wrong type');
}
