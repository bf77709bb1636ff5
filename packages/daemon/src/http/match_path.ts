/**
 * Matches a path against a route's pattern.
 *
 * @description Parts are percent-decoded. `:name` takes one part, a last `*`
 * the rest, undecoded, under the name `rest`.
 * @param pattern - For example `/v1/jobs/:id`.
 * @param path - Path of the request.
 * @returns Values by name, or undefined when it doesn't match.
 * @throws Never.
 * @example
 * matchPath('/v1/jobs/:id', '/v1/jobs/7'); // {id: '7'}
 */
export function matchPath(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const wanted = pattern.split('/');
  const given = path.split('/');
  const params: Record<string, string> = {};
  for (let i = 0; i < wanted.length; i++) {
    if (wanted[i] === '*') {
      params['rest'] = given.slice(i).join('/');
      return params;
    }
    const part = given[i];
    if (part === undefined) {
      return undefined;
    }
    if (!wanted[i]!.startsWith(':')) {
      if (wanted[i] !== part) {
        return undefined;
      }
      continue;
    }
    const value = decodePart(part);
    if (!value) {
      return undefined;
    }
    params[wanted[i]!.slice(1)] = value;
  }
  return wanted.length === given.length ? params : undefined;
}

function decodePart(part: string): string | undefined {
  try {
    return decodeURIComponent(part);
  } catch {
    return undefined;
  }
}
