import {createHmac, timingSafeEqual} from 'node:crypto';

/**
 * Proof that the sender of a hello has the shared key.
 *
 * @param key - Shared key.
 * @param parts - What the proof covers, in a fixed order.
 * @returns HMAC-SHA-256, base 64.
 */
export function linkMac(key: string, parts: readonly string[]): string {
  return createHmac('sha256', key)
    .update(JSON.stringify(parts))
    .digest('base64');
}

/**
 * Compares a received proof without telling by its time how much was right.
 *
 * @param expected - Proof computed here.
 * @param received - Proof received.
 * @returns Whether they are equal.
 */
export function isSameMac(expected: string, received: unknown): boolean {
  if (typeof received !== 'string') {
    return false;
  }
  const a = Buffer.from(expected);
  const b = Buffer.from(received);
  return a.length === b.length && timingSafeEqual(a, b);
}
