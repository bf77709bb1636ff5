import {createHmac, timingSafeEqual} from 'node:crypto';

/**
 * Computes the MAC by which the sender of a hello proves that it has the
 * shared key.
 *
 * @param key - Shared key.
 * @param parts - Values that the MAC covers, in a fixed order.
 * @returns HMAC-SHA-256 of the JSON-encoded parts, in base64.
 */
export function linkMac(key: string, parts: readonly string[]): string {
  return createHmac('sha256', key)
    .update(JSON.stringify(parts))
    .digest('base64');
}

/**
 * Compares a received MAC in constant time, so that the duration does not
 * reveal how many bytes match.
 *
 * @param expected - MAC computed by this instance.
 * @param received - MAC received from the peer.
 * @returns Whether they are equal.
 */
export function isMacEqual(expected: string, received: unknown): boolean {
  if (typeof received !== 'string') {
    return false;
  }
  const a = Buffer.from(expected);
  const b = Buffer.from(received);
  return a.length === b.length && timingSafeEqual(a, b);
}
