import {randomUUID} from 'node:crypto';
import {Agent} from 'node:http';
import type {HttpResult} from '../http_call/http_call.js';
import {httpCall} from '../http_call/http_call.js';

/**
 * Request that a stand-in caller sends.
 */
export interface CallerRequest {
  /** Port of an instance's listener for callers. */
  readonly port: number;
  /** Time for which the target works on the request, in milliseconds. */
  readonly runMs: number;
  /** Value that the target returns in its response. */
  readonly tag?: unknown;
  /** Idempotency key; a request without one is marked as repeatable. */
  readonly id?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/**
 * Stand-in for a caller of a service; uses keep-alive connections.
 */
export class Caller {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 2_000});

  private constructor(private readonly service: string) {}

  /**
   * Creates a caller of a service.
   *
   * @param service - Name of the service.
   * @returns The caller.
   * @example
   * const caller = Caller.create('outage-report');
   */
  static create(service: string): Caller {
    return new Caller(service);
  }

  /** Sends one request. */
  send(req: CallerRequest): Promise<HttpResult> {
    const key: Record<string, string> =
      req.id === undefined
        ? {'papayarun-repeatable': 'true'}
        : {'papayarun-id': req.id};
    return httpCall({
      port: req.port,
      method: 'POST',
      path: `/v1/services/${this.service}/run`,
      headers: {
        'content-type': 'application/json',
        ...key,
        ...req.headers,
      },
      body: JSON.stringify({runMs: req.runMs, tag: req.tag}),
      agent: this.agent,
      timeoutMs: req.timeoutMs ?? 30_000,
    });
  }

  /** Generates the opaque part of a new idempotency key. */
  createOpaqueKeyPart(): string {
    return randomUUID();
  }

  /** Closes all connections. */
  close(): void {
    this.agent.destroy();
  }
}
