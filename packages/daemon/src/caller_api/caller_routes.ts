import {randomUUID} from 'node:crypto';
import type {
  JobId,
  JobSpec,
  JobView,
  Outcome,
  RequestId,
  ServiceId,
  Work,
} from '@papayarun/protocol';
import {
  DispatchError,
  formatRequestKeyPrefix,
  parseRequestKey,
} from '@papayarun/protocol';
import {resolveBehaviours} from '@papayarun/releases';
import type {HttpRequest} from '../http/http_request.js';
import type {HttpResponse} from '../http/http_response.js';
import type {HttpRoute} from '../http/http_route.js';
import {parseJson} from '../http/parse_json.js';
import {refusalResponse} from '../http/refusal_response.js';
import {afterNextReading} from '../loop_lag/after_next_reading.js';
import {announcementSchema} from './announcement_schema.js';
import type {CallerApiOptions} from './caller_api_options.js';
import {jobSpecSchema} from './job_spec_schema.js';
import {parseWorkHeaders} from './parse_work_headers.js';
import {preferencesSchema} from './preferences_schema.js';

const SERVICE_PATTERN = /^[a-z][a-z0-9-]{0,31}$/;
const CUSTOMER_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const MAX_WAIT_MS = 600_000;

/**
 * Creates the HTTP routes for callers, targets and workers.
 *
 * @param opts - Settings and instance operations that the routes use.
 * @returns The routes.
 * @throws Never.
 * @example
 * const app = await HttpApp.create({routes: callerRoutes(opts), ...rest}, listen);
 */
export function callerRoutes(opts: CallerApiOptions): HttpRoute[] {
  return [
    {
      method: 'GET',
      path: '/health/live',
      isPeriodic: true,
      handle: () => Promise.resolve(okResponse({live: true})),
    },
    {
      method: 'GET',
      path: '/health/ready',
      isPeriodic: true,
      handle: () => Promise.resolve(getReadiness(opts)),
    },
    {
      method: 'GET',
      path: '/v1/id-prefix',
      handle: () => Promise.resolve(getIdPrefix(opts)),
    },
    {
      method: 'POST',
      path: '/v1/services/:service/*',
      handle: req => runRequest(opts, req),
    },
    {method: 'POST', path: '/v1/jobs', handle: req => submitJob(opts, req)},
    {method: 'GET', path: '/v1/jobs/:id', handle: req => showJob(opts, req)},
    {
      method: 'DELETE',
      path: '/v1/jobs/:id',
      handle: req => cancelJob(opts, req),
    },
    {
      method: 'POST',
      path: '/v1/targets',
      isPeriodic: true,
      handle: req => Promise.resolve(announceTarget(opts, req)),
    },
    {
      method: 'GET',
      path: '/v1/customers/:customer/behaviours',
      handle: req => Promise.resolve(getBehaviours(opts, req)),
    },
    {
      method: 'PUT',
      path: '/v1/customers/:customer/behaviours',
      handle: req => setPreferences(opts, req),
    },
  ];
}

function getReadiness(opts: CallerApiOptions): HttpResponse {
  const ready = opts.acceptsNewConnections();
  return {status: ready ? 200 : 503, body: {json: {ready}}};
}

function getIdPrefix(opts: CallerApiOptions): HttpResponse {
  assertReady(opts);
  const generation = opts.generation();
  if (generation === 0) {
    throw DispatchError.notRun(
      'notReady',
      'the claim view of this data centre has not been formed yet',
    );
  }
  const prefix = formatRequestKeyPrefix(
    opts.dataCentre,
    generation,
    opts.clock.wallNow(),
  );
  return okResponse({prefix, dataCentre: opts.dataCentre, generation});
}

async function runRequest(
  opts: CallerApiOptions,
  req: HttpRequest,
): Promise<HttpResponse> {
  const work = parseWork(opts, req);
  assertReady(opts, !work.repeatable);
  const outcome = work.repeatable
    ? await runRepeatable(opts, work, req.signal)
    : await opts.runIdempotent(work, req.signal);
  return outcomeResponse(outcome);
}

/**
 * Runs repeatable work unless its caller has left, whose connection may have ended
 * before its request was read. Work with an id is run for its return.
 */
async function runRepeatable(
  opts: CallerApiOptions,
  work: Work,
  signal: AbortSignal,
): Promise<Outcome> {
  await afterNextReading(opts.clock);
  signal.throwIfAborted();
  return opts.runRepeatable(work, signal);
}

function parseWork(opts: CallerApiOptions, req: HttpRequest): Work {
  const workHeaders = parseWorkHeaders(req.raw.headers, opts.defaultDeadlineMs);
  const service = req.params['service']!;
  if (!SERVICE_PATTERN.test(service)) {
    throw DispatchError.notRun(
      'badRequest',
      'the service must be a lower-case name of at most 32 characters',
      {
        field: 'service',
      },
    );
  }
  const {customer} = workHeaders;
  return {
    requestId: (workHeaders.id ?? randomUUID()) as RequestId,
    service: service as ServiceId,
    kind: opts.policy.resolveKind(workHeaders.kind),
    caller: workHeaders.caller,
    team: workHeaders.team,
    urgency: workHeaders.urgency,
    deadlineMs: workHeaders.deadlineMs,
    repeatable: workHeaders.repeatable,
    declaredRunMs: workHeaders.declaredRunMs,
    path: `/${req.params['rest']}`,
    contentType: req.raw.headers['content-type'] ?? 'application/octet-stream',
    body: req.body,
    behaviours:
      customer && JSON.stringify(resolveBehaviours(opts.state(), customer)),
  };
}

function outcomeResponse(outcome: Outcome): HttpResponse {
  switch (outcome.kind) {
    case 'answered': {
      const {status, contentType, body, release} = outcome.answer;
      const headers = {
        'content-type': contentType,
        'papayarun-verdict': 'ran',
        'papayarun-release': String(release),
      };
      return {status, headers, body};
    }
    case 'refused':
      return refusalResponse(outcome.refusal);
    default:
      return outcome satisfies never;
  }
}

async function submitJob(
  opts: CallerApiOptions,
  req: HttpRequest,
): Promise<HttpResponse> {
  assertReady(opts, true);
  const schema = jobSpecSchema(opts.maxJobTasks, opts.defaultDeadlineMs);
  const spec = parseJson(req.body, schema as never) as JobSpec;
  parseRequestKey(spec.id, '$.id');
  const kind = opts.policy.resolveKind(spec.kind);
  const waitMs = parseWaitMs(req) ?? 0;
  return jobResponse(
    await opts.runJobCommand({kind: 'submit', spec: {...spec, kind}, waitMs}),
  );
}

async function showJob(
  opts: CallerApiOptions,
  req: HttpRequest,
): Promise<HttpResponse> {
  const id = parseJobId(req);
  return jobResponse(
    await opts.runJobCommand({kind: 'show', id, waitMs: parseWaitMs(req) ?? 0}),
  );
}

async function cancelJob(
  opts: CallerApiOptions,
  req: HttpRequest,
): Promise<HttpResponse> {
  return jobResponse(
    await opts.runJobCommand({kind: 'cancel', id: parseJobId(req)}),
  );
}

function jobResponse(job: JobView): HttpResponse {
  switch (job.state) {
    case 'running':
      return {
        status: 202,
        headers: {'papayarun-verdict': 'mayHaveRun'},
        body: {json: job},
      };
    case 'complete':
      return {
        status: 200,
        headers: {'papayarun-verdict': 'ran'},
        body: {json: job},
      };
    case 'failed': {
      const {status, headers} = refusalResponse(job.refusal);
      return {
        status,
        headers,
        body: {
          json: {
            ...job.refusal,
            verdict: job.refusal.verdict.kind,
            state: 'failed',
            id: job.id,
          },
        },
      };
    }
    default:
      return job satisfies never;
  }
}

function announceTarget(
  opts: CallerApiOptions,
  req: HttpRequest,
): HttpResponse {
  opts.announce(parseJson(req.body, announcementSchema));
  return okResponse({intervalMs: opts.announceIntervalMs});
}

function getBehaviours(opts: CallerApiOptions, req: HttpRequest): HttpResponse {
  assertReady(opts);
  const state = opts.state();
  return okResponse({
    release: state.release,
    behaviours: resolveBehaviours(state, parseCustomer(req)),
  });
}

async function setPreferences(
  opts: CallerApiOptions,
  req: HttpRequest,
): Promise<HttpResponse> {
  assertReady(opts);
  const customer = parseCustomer(req);
  const {choices} = parseJson(req.body, preferencesSchema);
  const preferenceEntries = Object.entries(choices).map(([name, value]) => [
    `behaviour:${name}`,
    value,
  ]);
  const result = await opts.setPreferences(
    customer,
    Object.fromEntries(preferenceEntries) as Record<string, unknown>,
  );
  if (result.kind === 'preferences' && result.unknown.length > 0) {
    const names = result.unknown.join(', ');
    throw DispatchError.notRun(
      'conflict',
      `behaviours not in the current release: ${names}; the other choices were applied`,
      {
        field: '$.choices',
      },
    );
  }
  return okResponse({kept: true});
}

function parseCustomer(req: HttpRequest): string {
  const customer = req.params['customer']!;
  if (!CUSTOMER_PATTERN.test(customer)) {
    throw DispatchError.notRun(
      'badRequest',
      'the customer must be a name of at most 64 characters',
      {
        field: 'customer',
      },
    );
  }
  return customer;
}

function parseJobId(req: HttpRequest): JobId {
  const id = req.params['id']!;
  parseRequestKey(id, 'id');
  return id as JobId;
}

function parseWaitMs(req: HttpRequest): number | undefined {
  const text = req.query.get('wait-ms');
  if (text === null) {
    return undefined;
  }
  const value = /^[0-9]{1,7}$/.test(text) ? Number(text) : NaN;
  if (!(value <= MAX_WAIT_MS)) {
    throw DispatchError.notRun(
      'badRequest',
      `wait-ms must be an integer from 0 to ${MAX_WAIT_MS}`,
      {
        field: 'wait-ms',
      },
    );
  }
  return value;
}

/**
 * Refuses a request while the instance is not ready. A request with an
 * idempotency key is refused with `mayHaveRun`, because an instance that is not
 * ready cannot tell whether an earlier attempt ran.
 */
function assertReady(opts: CallerApiOptions, isIdempotent = false): void {
  if (opts.isReady()) {
    return;
  }
  const message = 'this instance has not loaded the current release yet';
  throw isIdempotent
    ? DispatchError.mayHaveRun('notReady', message)
    : DispatchError.notRun('notReady', message);
}

function okResponse(json: unknown): HttpResponse {
  return {status: 200, body: {json}};
}
