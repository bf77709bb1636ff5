import {DispatchError} from '@papayarun/protocol';
import type {z} from 'zod';

/**
 * Parses a JSON body and checks its shape.
 *
 * @param body - Bytes of the body.
 * @param schema - Expected shape.
 * @returns The checked data.
 * @throws DispatchError with `notRun` that names every wrong field.
 * @example
 * const announcement = parseJson(req.body, announcementSchema);
 */
export function parseJson<T>(body: Uint8Array, schema: z.ZodType<T>): T {
  let document: unknown;
  try {
    document = JSON.parse(Buffer.from(body).toString('utf8'));
  } catch (err) {
    const text = `the body is not JSON: ${(err as Error).message}`;
    throw DispatchError.notRun('badRequest', text, {field: '$'});
  }
  const result = schema.safeParse(document);
  if (result.success) {
    return result.data;
  }
  const problems = result.error.issues.map(issue => ({
    path: ['$', ...issue.path].join('.'),
    message: issue.message,
  }));
  const text = problems.map(p => `${p.path}: ${p.message}`).join('; ');
  throw DispatchError.notRun('badRequest', text, {field: problems[0]!.path});
}
