/**
 * Answer to a request.
 */
export interface HttpResponse {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Bytes, or data to be sent as JSON. */
  readonly body: Uint8Array | {readonly json: unknown};
}
