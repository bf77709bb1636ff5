/**
 * Response to an HTTP request.
 */
export interface HttpResponse {
  readonly status: number;
  readonly headers?: Readonly<Record<string, string>>;
  /** Bytes, or data that is sent as JSON. */
  readonly body: Uint8Array | {readonly json: unknown};
}
