/**
 * Nominal type over a plain one.
 *
 * @description Two brands over the same plain type don't mix without a cast.
 */
export type Brand<T, Name extends string> = T & {readonly __brand: Name};
