import {DispatchError} from '@papayarun/protocol';
import type {z} from 'zod';
import {decodeBody} from './decode_body.js';

/**
 * Most invalid fields that a refusal lists. A body of 262,144 bytes can have
 * 131,000 of them, whose list had 8 million characters.
 */
const MAX_LISTED_FIELDS = 10;
/** Longest problem in a refusal, in characters; it may name a value of the body. */
const MAX_PROBLEM_LENGTH = 200;

/**
 * Parses a JSON body and validates it against a schema.
 *
 * @param body - Request body.
 * @param schema - Schema that the document must match.
 * @returns The validated data.
 * @throws DispatchError with `notRun`, naming the first invalid fields.
 * @example
 * const announcement = parseJson(req.body, announcementSchema);
 */
export function parseJson<T>(body: Uint8Array, schema: z.ZodType<T>): T {
  const result = schema.safeParse(decodeBody(body));
  if (result.success) {
    return result.data;
  }
  const {issues} = result.error;
  const problems = issues.slice(0, MAX_LISTED_FIELDS).map(issue => ({
    path: ['$', ...issue.path].join('.'),
    message: issue.message.slice(0, MAX_PROBLEM_LENGTH),
  }));
  const list = problems.map(p => `${p.path}: ${p.message}`).join('; ');
  const unlisted = issues.length - problems.length;
  const message = unlisted > 0 ? `${list}; and ${unlisted} more` : list;
  throw DispatchError.notRun('badRequest', message, {field: problems[0]!.path});
}
