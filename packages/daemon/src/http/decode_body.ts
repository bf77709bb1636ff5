import {decodeJson, DispatchError, MAX_JSON_VALUES} from '@papayarun/protocol';

/**
 * Decodes the JSON body of a request.
 *
 * @param body - Request body.
 * @returns Decoded plain data; its shape is not validated.
 * @throws DispatchError with `notRun`, naming the field `$`, when the body isn't JSON
 *   in UTF-8 or has too many values.
 * @example
 * const document = decodeBody(req.body);
 */
export function decodeBody(body: Uint8Array): unknown {
  try {
    return decodeJson(body, MAX_JSON_VALUES);
  } catch (err) {
    const problem =
      err instanceof RangeError ? 'is too large' : 'is not valid JSON';
    const message = `the body ${problem}: ${(err as Error).message}`;
    throw DispatchError.notRun('badRequest', message, {field: '$'});
  }
}
