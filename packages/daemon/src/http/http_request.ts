import type {IncomingMessage} from 'node:http';

/**
 * HTTP request whose body has been read.
 */
export interface HttpRequest {
  readonly raw: IncomingMessage;
  readonly path: string;
  readonly query: URLSearchParams;
  /** Values of the `:name` segments of the route. */
  readonly params: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Aborts if the connection closes before the response is sent. */
  readonly signal: AbortSignal;
}
