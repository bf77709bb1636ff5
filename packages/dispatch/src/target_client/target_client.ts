import {Agent, request} from 'node:http';
import type {ClientRequest, IncomingMessage} from 'node:http';
import type {Outcome, Refusal, TargetId, Work} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import {MergedSignal} from '../_lib/merged_signal.js';
import type {TargetRecord} from '../target_registry/target_record.js';
import type {SendResult} from './send_result.js';
import type {TargetClientOptions} from './target_client_options.js';

/** Lowest HTTP status that counts as a failure of the target. */
const FIRST_SERVER_ERROR_STATUS = 500;
/** Abort reason of a task lease; a shared string avoids creating an error per abort. */
const LEASE_ENDED = 'the lease ended';
/** Renewals sent in the duration of one lease. */
const RENEWALS_PER_LEASE = 3;
/** Timeout of a `renew` or `stop` command to a worker, in milliseconds. */
const TASK_COMMAND_TIMEOUT_MS = 1_000;
/** Time after which an idle keep-alive connection is closed, in milliseconds. */
const IDLE_SOCKET_TIMEOUT_MS = 4_000;

interface TargetResponse {
  readonly status: number;
  readonly contentType: string;
  readonly verdict: string | undefined;
  readonly echoedId: string | undefined;
  readonly body: Buffer;
}

/**
 * Sends work to targets and workers over HTTP.
 *
 * @description An error before the connection is established gives `notRun`,
 * because no byte of the request was written. A later error gives `mayHaveRun`,
 * unless the target answers with the header `papayarun-verdict: notRun`. An
 * answer is accepted only if its HTTP framing shows that it is complete and the
 * request id it echoes, if any, matches.
 */
export class TargetClient {
  private readonly agents = new Map<TargetId, Agent>();

  private constructor(private readonly opts: TargetClientOptions) {}

  /**
   * Creates a client without connections.
   *
   * @param opts - Clock and limits.
   * @returns The client.
   * @example
   * const client = TargetClient.create(opts);
   */
  static create(opts: TargetClientOptions): TargetClient {
    return new TargetClient(opts);
  }

  /**
   * Sends one piece of work and waits for the complete answer.
   *
   * @param record - Target to send to.
   * @param work - The work.
   * @param release - Number of the release in force, sent to the target.
   * @param signal - Aborts the send; its reason is a DispatchError.
   * @returns Outcome, how the send ended and how long it took.
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
      void this.renewLease(record, work, lease);
    }
    const cancellation = MergedSignal.create([signal, lease.signal]);
    let result: Omit<SendResult, 'runMs'>;
    try {
      const response = await this.exchange(
        record,
        work,
        release,
        cancellation.signal,
        progress,
      );
      result = classifyResponse(response, work, release);
    } catch (err) {
      result = classifyError(
        err as Error,
        progress.connected,
        signal,
        lease.signal,
      );
      if (
        result.resultKind === 'cancelled' &&
        record.announcement.worker &&
        progress.connected
      ) {
        void this.sendTaskCommand(record, work, 'stop');
      }
    } finally {
      cancellation.dispose();
      lease.abort(LEASE_ENDED);
    }
    return {...result, runMs: this.opts.clock.now() - startedMs};
  }

  /** Closes the idle and active connections to a removed target. */
  closeConnections(id: TargetId): void {
    this.agents.get(id)?.destroy();
    this.agents.delete(id);
  }

  /** Closes all connections. */
  close(): void {
    for (const id of [...this.agents.keys()]) {
      this.closeConnections(id);
    }
  }

  private exchange(
    record: TargetRecord,
    work: Work,
    release: number,
    signal: AbortSignal,
    progress: {connected: boolean},
  ): Promise<TargetResponse> {
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
      const settle = (complete: () => void): void => {
        signal.removeEventListener('abort', abort);
        complete();
      };
      req.on('error', err => settle(() => reject(err)));
      req.on('response', res =>
        this.readResponse(res).then(
          received => settle(() => resolve(received)),
          err => settle(() => reject(err)),
        ),
      );
      this.trackConnection(req, progress);
      if (signal.aborted) {
        abort();
        return;
      }
      signal.addEventListener('abort', abort);
      req.end(work.body);
    });
  }

  private trackConnection(
    req: ClientRequest,
    progress: {connected: boolean},
  ): void {
    req.on('socket', socket => {
      if (!socket.connecting) {
        progress.connected = true;
        return;
      }
      const timer = setTimeout(
        () => req.destroy(new Error('connecting to the target timed out')),
        this.opts.connectTimeoutMs,
      );
      socket.once('connect', () => {
        clearTimeout(timer);
        progress.connected = true;
      });
      socket.once('close', () => clearTimeout(timer));
    });
  }

  private readResponse(res: IncomingMessage): Promise<TargetResponse> {
    return new Promise((resolve, reject) => {
      const chunks: Buffer[] = [];
      let size = 0;
      res.on('data', (chunk: Buffer) => {
        size += chunk.length;
        if (size > this.opts.maxAnswerBytes) {
          res.destroy(new Error('answer exceeds the size limit'));
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
        socket.setTimeout(IDLE_SOCKET_TIMEOUT_MS);
      });
      this.agents.set(record.id, agent);
    }
    return agent;
  }

  /**
   * Renews the lease of a task until the task ends, or the worker answers 404
   * because it does not have the task.
   */
  private async renewLease(
    record: TargetRecord,
    work: Work,
    lease: AbortController,
  ): Promise<void> {
    for (;;) {
      await this.opts.clock.sleep(
        this.opts.taskLeaseMs / RENEWALS_PER_LEASE,
        lease.signal,
      );
      if (lease.signal.aborted) {
        return;
      }
      const status = await this.sendTaskCommand(record, work, 'renew');
      if (status === 404 && !lease.signal.aborted) {
        lease.abort(LEASE_ENDED);
        return;
      }
    }
  }

  /** Sends a task command; resolves to the HTTP status, or 0 if no response came. */
  private sendTaskCommand(
    record: TargetRecord,
    work: Work,
    command: 'renew' | 'stop',
  ): Promise<number> {
    return new Promise(resolve => {
      const path = `/v1/tasks/${encodeURIComponent(work.requestId)}/${command}`;
      const req = request(new URL(path, record.announcement.url), {
        method: 'POST',
        timeout: TASK_COMMAND_TIMEOUT_MS,
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

function classifyResponse(
  response: TargetResponse,
  work: Work,
  release: number,
): Omit<SendResult, 'runMs'> {
  if (response.echoedId !== undefined && response.echoedId !== work.requestId) {
    const refusal = DispatchError.mayHaveRun(
      'crossedAnswer',
      'the target answered with the id of another request',
    ).refusal;
    return {outcome: {kind: 'refused', refusal}, resultKind: 'failed'};
  }
  if (response.verdict === 'notRun') {
    const refusal = DispatchError.notRun(
      'targetBusy',
      'the target refused the request without running it',
    ).refusal;
    return {outcome: {kind: 'refused', refusal}, resultKind: 'busy'};
  }
  const {status, contentType, body} = response;
  const outcome: Outcome = {
    kind: 'answered',
    answer: {status, contentType, body, release},
  };
  return {
    outcome,
    resultKind: status >= FIRST_SERVER_ERROR_STATUS ? 'failed' : 'succeeded',
  };
}

function classifyError(
  err: Error,
  connected: boolean,
  signal: AbortSignal,
  lease: AbortSignal,
): Omit<SendResult, 'runMs'> {
  const refusedOutcome = (refusal: Refusal): Outcome => ({
    kind: 'refused',
    refusal,
  });
  if (signal.aborted) {
    const reason = (signal.reason as DispatchError).refusal;
    const refusal: Refusal = connected
      ? {...reason, verdict: {kind: 'mayHaveRun'}}
      : reason;
    return {outcome: refusedOutcome(refusal), resultKind: 'cancelled'};
  }
  if (lease.aborted) {
    const {refusal} = DispatchError.mayHaveRun(
      'targetFailed',
      'the worker no longer has the task',
    );
    return {outcome: refusedOutcome(refusal), resultKind: 'failed'};
  }
  if (!connected) {
    const {refusal} = DispatchError.notRun('targetUnreachable', err.message);
    return {outcome: refusedOutcome(refusal), resultKind: 'unreachable'};
  }
  const code =
    err.message === 'answer was truncated' ? 'truncatedAnswer' : 'targetFailed';
  const {refusal} = DispatchError.mayHaveRun(code, err.message);
  return {outcome: refusedOutcome(refusal), resultKind: 'failed'};
}
