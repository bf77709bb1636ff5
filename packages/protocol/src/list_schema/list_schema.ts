import * as z from 'zod';

/** Number of problems after which the rest of a list is not read. */
const MAX_PROBLEMS = 10;

/**
 * Creates a schema of a list that stops at the first few invalid items.
 *
 * @description `z.array` records a problem for each invalid item, which takes some
 * 300 bytes of heap. A body with millions of them would need more memory than a
 * process has.
 * @param item - Schema of an item.
 * @returns The schema. It reports at most ten problems, each with the path of its
 *   item.
 * @throws Never.
 * @example
 * listSchema(z.string()).safeParse(['a', 7]).error?.issues[0]?.path; // [1]
 */
export function listSchema<T>(item: z.ZodType<T>): z.ZodType<T[], unknown[]> {
  const schema = z.transform((value: unknown, ctx): T[] => {
    if (!Array.isArray(value)) {
      ctx.addIssue({code: 'invalid_type', expected: 'array', input: value});
      return z.NEVER;
    }
    const items: T[] = [];
    let problems = 0;
    for (const [i, element] of value.entries()) {
      const {data, error} = item.safeParse(element);
      if (!error) {
        items.push(data);
        continue;
      }
      for (const {message, path} of error.issues) {
        if (++problems > MAX_PROBLEMS) {
          return z.NEVER;
        }
        ctx.addIssue({code: 'custom', message, path: [i, ...path]});
      }
    }
    return items;
  });
  return schema as unknown as z.ZodType<T[], unknown[]>;
}
