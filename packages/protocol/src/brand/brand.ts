/**
 * Nominal (branded) type based on a plain type.
 *
 * @description Two brands of the same plain type are not assignable to each
 * other without a cast.
 */
export type Brand<T, Name extends string> = T & {readonly __brand: Name};
