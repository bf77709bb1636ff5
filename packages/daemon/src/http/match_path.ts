/**
 * Matches a request path against the pattern of a route.
 *
 * @description `:name` matches one segment, which is percent-decoded. A last `*`
 * matches the rest of the path, which is returned undecoded as `rest`.
 * @param pattern - Path pattern, such as `/v1/jobs/:id`.
 * @param path - Path of the request, without the query.
 * @returns Parameter values by name, or undefined if the path doesn't match.
 * @throws Never.
 * @example
 * matchPath('/v1/jobs/:id', '/v1/jobs/7'); // {id: '7'}
 */
export function matchPath(
  pattern: string,
  path: string,
): Record<string, string> | undefined {
  const patternSegments = pattern.split('/');
  const pathSegments = path.split('/');
  const params: Record<string, string> = {};
  for (let i = 0; i < patternSegments.length; i++) {
    if (patternSegments[i] === '*') {
      params['rest'] = pathSegments.slice(i).join('/');
      return params;
    }
    const segment = pathSegments[i];
    if (segment === undefined) {
      return undefined;
    }
    if (!patternSegments[i]!.startsWith(':')) {
      if (patternSegments[i] !== segment) {
        return undefined;
      }
      continue;
    }
    const value = decodeSegment(segment);
    if (!value) {
      return undefined;
    }
    params[patternSegments[i]!.slice(1)] = value;
  }
  return patternSegments.length === pathSegments.length ? params : undefined;
}

function decodeSegment(segment: string): string | undefined {
  try {
    return decodeURIComponent(segment);
  } catch {
    return undefined;
  }
}
