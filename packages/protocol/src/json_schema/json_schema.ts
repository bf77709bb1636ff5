import * as z from 'zod';

/** Deepest nesting of lists and objects that is accepted. */
const MAX_DEPTH = 500;

/**
 * Schema of a decoded JSON value that can be encoded again.
 *
 * @description `z.json` calls itself for each level and records a problem for each
 * item that it refuses, so that a nested or a long list ends it by the stack or by
 * the heap. This one reports one problem whatever the value is: infinite numbers,
 * which JSON writes as 1e999, and more than 500 levels.
 * @example
 * jsonSchema.safeParse([1, {a: Infinity}]).success; // false
 */
export const jsonSchema = z.custom<z.core.util.JSONType>(
  isJsonValue,
  `expected JSON of at most ${MAX_DEPTH} levels with finite numbers`,
);

function isJsonValue(value: unknown): boolean {
  let level: unknown[] = [value];
  for (let depth = 0; level.length > 0; depth++) {
    const next: unknown[] = [];
    for (const item of level) {
      if (typeof item === 'object' && item !== null) {
        if (depth === MAX_DEPTH) {
          return false;
        }
        for (const child of Object.values(item)) {
          next.push(child);
        }
      } else if (!isScalar(item)) {
        return false;
      }
    }
    level = next;
  }
  return true;
}

function isScalar(value: unknown): boolean {
  switch (typeof value) {
    case 'string':
    case 'boolean':
      return true;
    case 'number':
      return Number.isFinite(value);
    default:
      return value === null;
  }
}
