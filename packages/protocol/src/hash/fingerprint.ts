import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Computes a 64-bit fingerprint to compare contents for equality.
 *
 * @description xxHash64 with seed 0; an adversary can construct collisions.
 * @param bytes - Content to hash.
 * @returns Sixteen hexadecimal digits.
 * @throws Never.
 * @example
 * fingerprint(Buffer.from('gift card 17'));
 */
export function fingerprint(bytes: Uint8Array): string {
  return hasher.h64Raw(bytes).toString(16).padStart(16, '0');
}
