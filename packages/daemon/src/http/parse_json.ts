import {decodeJson, DispatchError} from '@papayarun/protocol';
import type {z} from 'zod';

/**
 * Parses a JSON body and validates it against a schema.
 *
 * @param body - Request body.
 * @param schema - Schema that the document must match.
 * @returns The validated data.
 * @throws DispatchError with `notRun`, naming every invalid field.
 * @example
 * const announcement = parseJson(req.body, announcementSchema);
 */
export function parseJson<T>(body: Uint8Array, schema: z.ZodType<T>): T {
  let document: unknown;
  try {
    document = decodeJson(body);
  } catch (err) {
    const message = `the body is not valid JSON: ${(err as Error).message}`;
    throw DispatchError.notRun('badRequest', message, {field: '$'});
  }
  const result = schema.safeParse(document);
  if (result.success) {
    return result.data;
  }
  const problems = result.error.issues.map(issue => ({
    path: ['$', ...issue.path].join('.'),
    message: issue.message,
  }));
  const message = problems.map(p => `${p.path}: ${p.message}`).join('; ');
  throw DispatchError.notRun('badRequest', message, {field: problems[0]!.path});
}
