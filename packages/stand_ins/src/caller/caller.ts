import {randomUUID} from 'node:crypto';
import {Agent} from 'node:http';
import type {HttpResult} from '../http_call/http_call.js';
import {httpCall} from '../http_call/http_call.js';

/**
 * Request of a stand-in caller.
 */
export interface CallerRequest {
  readonly port: number;
  readonly runMs: number;
  readonly tag?: unknown;
  /** Idempotency key; without it the request is repeatable. */
  readonly id?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly timeoutMs?: number;
}

/**
 * Stand-in caller with kept connections.
 */
export class Caller {
  private readonly agent = new Agent({keepAlive: true, maxSockets: 2_000});

  private constructor(private readonly service: string) {}

  /**
   * Makes a caller of a service.
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

  /** Opaque part of a new idempotency key. */
  opaque(): string {
    return randomUUID();
  }

  close(): void {
    this.agent.destroy();
  }
}
