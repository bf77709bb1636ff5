import type {HttpRequest} from './http_request.js';
import type {HttpResponse} from './http_response.js';

/**
 * Handler of a method and path.
 */
export interface HttpRoute {
  readonly method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  /** Path whose parts may be `:name`; a last part `*` takes the rest. */
  readonly path: string;
  readonly handle: (req: HttpRequest) => Promise<HttpResponse>;
}
