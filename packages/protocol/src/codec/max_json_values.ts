/**
 * Number of values that a JSON document from outside may have.
 *
 * @description A decoded value takes up to 64 bytes of heap; an empty object `{}`
 * does, for 3 bytes of the document. A document of 1 MiB has at most 524,289 values,
 * and a configuration of 8 MiB in which each route has all fields has fewer.
 */
export const MAX_JSON_VALUES = 600_000;
