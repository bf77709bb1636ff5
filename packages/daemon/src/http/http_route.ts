import type {HttpRequest} from './http_request.js';
import type {HttpResponse} from './http_response.js';

/**
 * Handler of requests with a given method and path.
 */
export interface HttpRoute {
  readonly method:
    'GET' | 'HEAD' | 'POST' | 'PUT' | 'PATCH' | 'DELETE' | 'OPTIONS';
  /** Path pattern; a segment `:name` is a parameter, a last `*` matches the rest. */
  readonly path: string;
  /**
   * Whether monitors or targets send such requests all the time. They don't show
   * that clients still use the server.
   */
  readonly isPeriodic?: boolean;
  readonly handle: (req: HttpRequest) => Promise<HttpResponse>;
}
