import {Agent, request} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Outcome, Refusal, TargetId, Work} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import {MergedSignal} from '../_lib/merged_signal.js';
import type {TargetRecord} from '../target_registry/target_record.js';
import type {SendResult} from './send_result.js';
import type {TargetClientOptions} from './target_client_options.js';

const SERVER_ERROR = 500;
/** A reason of its own spares the making of an error at each abort. */
const LEASE_ENDED = 'the lease ended';
const LEASE_RENEWALS = 3;
const CONTROL_TIMEOUT_MS = 1_000;
const FREE_SOCKET_TIMEOUT_MS = 4_000;

interface Received {
  readonly status: number;
  readonly contentType: string;
  readonly verdict: string | undefined;
  readonly echoedId: string | undefined;
  readonly body: Buffer;
}

/**
 * Sends work to targets and workers over HTTP.
 *
 * @description An error before the connection stood is `notRun`: no byte of
 * the request was written. After that it is `mayHaveRun`, unless the target
 * itself says `papayarun-verdict: notRun`. An answer counts only when its
 * framing says that it is whole and the id it echoes, if any, is the right one.
 */
export class TargetClient {
  private readonly agents = new Map<TargetId, Agent>();

  private constructor(private readonly opts: TargetClientOptions) {}

  /**
   * Makes a client without connections.
   *
   * @param opts - Clock and bounds.
   * @returns The client.
   * @example
   * const client = TargetClient.create(opts);
   */
  static create(opts: TargetClientOptions): TargetClient {
    return new TargetClient(opts);
  }

  /**
   * Sends one piece of work and waits for the whole answer.
   *
   * @param record - Target to send to.
   * @param work - The work.
   * @param release - Release in force, told to the target.
   * @param signal - Aborts the send; its reason is a DispatchError.
   * @returns Outcome and what it says about the target.
   */
  async send(
    record: TargetRecord,
    work: Work,
    release: number,
    signal: AbortSignal,
  ): Promise<SendResult> {
    const startedMs = this.opts.clock.now();
    const progress = {connected: false};
    const lease = new AbortController();
    if (record.announcement.worker) {
      void this.renewLoop(record, work, lease);
    }
    const ended = MergedSignal.create([signal, lease.signal]);
    let result: Omit<SendResult, 'runMs'>;
    try {
      const received = await this.exchange(
        record,
        work,
        release,
        ended.signal,
        progress,
      );
      result = judge(received, work, release);
    } catch (err) {
      result = judgeError(
        err as Error,
        progress.connected,
        signal,
        lease.signal,
      );
      if (
        result.sign === 'cancelled' &&
        record.announcement.worker &&
        progress.connected
      ) {
        void this.control(record, work, 'stop');
      }
    } finally {
      ended.dispose();
      lease.abort(LEASE_ENDED);
    }
    return {...result, runMs: this.opts.clock.now() - startedMs};
  }

  /** Closes the connections to a target that is gone. */
  forget(id: TargetId): void {
    this.agents.get(id)?.destroy();
    this.agents.delete(id);
  }

  /** Closes all connections. */
  close(): void {
    for (const id of [...this.agents.keys()]) {
      this.forget(id);
    }
  }

  private exchange(
    record: TargetRecord,
    work: Work,
    release: number,
    signal: AbortSignal,
    progress: {connected: boolean},
  ): Promise<Received> {
    return new Promise((resolve, reject) => {
      const url = new URL(work.path, record.announcement.url);
      const req = request(url, {
        method: 'POST',
        agent: this.agentOf(record),
        headers: this.headersOf(work, release, record),
      });
      const abort = (): void => {
        req.destroy(new Error('aborted'));
      };
      const settle = (act: () => void): void => {
        signal.removeEventListener('abort', abort);
        act();
      };
      req.on('error', err => settle(() => reject(err)));
      req.on('response', res =>
        this.collect(res).then(
          received => settle(() => resolve(received)),
          err => settle(() => reject(err)),
        ),
      );
      this.watchConnect(req, progress);
      if (signal.aborted) {
        abort();
        return;
      }
      signal.addEventListener('abort', abort);
      req.end(work.body);
    });
  }

  private watchConnect(
    req: ClientRequest,
    progress: {connected: boolean},
  ): void {
    req.on('socket', socket => {
      if (!socket.connecting) {
        progress.connected = true;
        return;
      }
      const timer = setTimeout(
        () => req.destroy(new Error('connect timed out')),
        this.opts.connectTimeoutMs,
      );
      socket.once('connect', () => {
        clearTimeout(timer);
        progress.connected = true;
      });
      socket.once('close', () => clearTimeout(timer));
    });
  }

  private collect(res: IncomingMessage): Promise<Received> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let size = 0;
      res.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > this.opts.maxAnswerBytes) {
          res.destroy(new Error('answer is too large'));
          return;
        }
        chunks.push(chunk);
      });
      res.on('error', reject);
      res.on('aborted', () => reject(new Error('answer was truncated')));
      res.on('end', () => {
        if (!res.complete) {
          reject(new Error('answer was truncated'));
          return;
        }
        resolve({
          status: res.statusCode!,
          contentType:
            res.headers['content-type'] ?? 'application/octet-stream',
          verdict: headerOf(res, 'papayarun-verdict'),
          echoedId: headerOf(res, 'papayarun-request-id'),
          body: Buffer.concat(chunks),
        });
      });
    });
  }

  private headersOf(
    work: Work,
    release: number,
    record: TargetRecord,
  ): Record<string, string | number> {
    const headers: Record<string, string | number> = {
      'content-type': work.contentType,
      'content-length': work.body.byteLength,
      'papayarun-request-id': work.requestId,
      'papayarun-kind': work.kind,
      'papayarun-release': release,
    };
    if (work.behaviours !== undefined) {
      headers['papayarun-behaviours'] = work.behaviours;
    }
    if (record.announcement.worker) {
      headers['papayarun-lease-ms'] = this.opts.taskLeaseMs;
    }
    return headers;
  }

  private agentOf(record: TargetRecord): Agent {
    let agent = this.agents.get(record.id);
    if (!agent) {
      agent = new Agent({
        keepAlive: true,
        maxSockets: record.announcement.connections,
        timeout: 0,
      });
      agent.on('free', socket => {
        socket.setTimeout(FREE_SOCKET_TIMEOUT_MS);
      });
      this.agents.set(record.id, agent);
    }
    return agent;
  }

  /** Renews the lease of a task until it ends or the worker forgets it. */
  private async renewLoop(
    record: TargetRecord,
    work: Work,
    lease: AbortController,
  ): Promise<void> {
    for (;;) {
      await this.opts.clock.sleep(
        this.opts.taskLeaseMs / LEASE_RENEWALS,
        lease.signal,
      );
      if (lease.signal.aborted) {
        return;
      }
      const status = await this.control(record, work, 'renew');
      if (status === 404 && !lease.signal.aborted) {
        lease.abort(LEASE_ENDED);
        return;
      }
    }
  }

  /** Sends a task command; gives its status, or 0 when there was none. */
  private control(
    record: TargetRecord,
    work: Work,
    verb: 'renew' | 'stop',
  ): Promise<number> {
    return new Promise(resolve => {
      const path = `/v1/tasks/${encodeURIComponent(work.requestId)}/${verb}`;
      const req = request(new URL(path, record.announcement.url), {
        method: 'POST',
        timeout: CONTROL_TIMEOUT_MS,
        headers: {'content-length': 0},
      });
      req.on('timeout', () => req.destroy());
      req.on('error', () => resolve(0));
      req.on('response', res => {
        res.resume();
        resolve(res.statusCode ?? 0);
      });
      req.end();
    });
  }
}

function headerOf(res: IncomingMessage, name: string): string | undefined {
  const value = res.headers[name];
  return typeof value === 'string' ? value : undefined;
}

function judge(
  received: Received,
  work: Work,
  release: number,
): Omit<SendResult, 'runMs'> {
  if (received.echoedId !== undefined && received.echoedId !== work.requestId) {
    const refusal = DispatchError.mayHaveRun(
      'crossedAnswer',
      'the target answered another request',
    ).refusal;
    return {outcome: {kind: 'refused', refusal}, sign: 'failed'};
  }
  if (received.verdict === 'notRun') {
    const refusal = DispatchError.notRun(
      'targetBusy',
      'the target did not run it',
    ).refusal;
    return {outcome: {kind: 'refused', refusal}, sign: 'busy'};
  }
  const {status, contentType, body} = received;
  const outcome: Outcome = {
    kind: 'answered',
    answer: {status, contentType, body, release},
  };
  return {outcome, sign: status >= SERVER_ERROR ? 'failed' : 'succeeded'};
}

function judgeError(
  err: Error,
  connected: boolean,
  signal: AbortSignal,
  lease: AbortSignal,
): Omit<SendResult, 'runMs'> {
  const refuse = (refusal: Refusal): Outcome => ({kind: 'refused', refusal});
  if (signal.aborted) {
    const reason = (signal.reason as DispatchError).refusal;
    const refusal: Refusal = connected
      ? {...reason, verdict: {kind: 'mayHaveRun'}}
      : reason;
    return {outcome: refuse(refusal), sign: 'cancelled'};
  }
  if (lease.aborted) {
    const {refusal} = DispatchError.mayHaveRun(
      'targetFailed',
      'the worker no longer knows the task',
    );
    return {outcome: refuse(refusal), sign: 'failed'};
  }
  if (!connected) {
    const {refusal} = DispatchError.notRun('targetUnreachable', err.message);
    return {outcome: refuse(refusal), sign: 'unreachable'};
  }
  const code =
    err.message === 'answer was truncated' ? 'truncatedAnswer' : 'targetFailed';
  const {refusal} = DispatchError.mayHaveRun(code, err.message);
  return {outcome: refuse(refusal), sign: 'failed'};
}
