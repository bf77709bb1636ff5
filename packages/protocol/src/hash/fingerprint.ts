import xxhash from 'xxhash-wasm';

const hasher = await xxhash();

/**
 * 64-bit fingerprint of bytes, to tell equal contents from different ones.
 *
 * @description xxHash64 with seed 0; not meant against an adversary.
 * @param bytes - Content.
 * @returns Sixteen hexadecimal digits.
 * @throws Never.
 * @example
 * fingerprint(Buffer.from('gift card 17'));
 */
export function fingerprint(bytes: Uint8Array): string {
  return hasher.h64Raw(bytes).toString(16).padStart(16, '0');
}
