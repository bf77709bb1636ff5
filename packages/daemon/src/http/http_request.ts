import type {IncomingMessage} from 'node:http';

/**
 * A request whose body has been read.
 */
export interface HttpRequest {
  readonly raw: IncomingMessage;
  readonly path: string;
  readonly query: URLSearchParams;
  /** Values of the `:name` parts of the route. */
  readonly params: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Aborts when the connection closes before the answer. */
  readonly signal: AbortSignal;
}
