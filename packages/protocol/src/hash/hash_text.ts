import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * Computes a 32-bit hash of a string that is the same on every instance.
 *
 * @description xxHash32 with seed 0.
 * @param text - String to hash.
 * @returns Unsigned 32-bit integer.
 * @throws Never.
 * @example
 * hashText('runner-1');
 */
export function hashText(text: string): number {
  return hasher.h32(text);
}
