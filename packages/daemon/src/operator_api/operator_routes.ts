import type {TargetRecord} from '@papayarun/dispatch';
import type {DataCentreId} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import type {ControlState} from '@papayarun/releases';
import {fingerprintOfNote, parseNote} from '@papayarun/releases';
import {decodeBody} from '../http/decode_body.js';
import type {HttpRequest} from '../http/http_request.js';
import type {HttpResponse} from '../http/http_response.js';
import type {HttpRoute} from '../http/http_route.js';
import type {OperatorApiOptions} from './operator_api_options.js';

/**
 * Creates the HTTP routes for operators.
 *
 * @param opts - Components and instance operations that the routes use.
 * @returns The routes.
 * @throws Never.
 * @example
 * const app = await HttpApp.create({routes: operatorRoutes(opts), ...rest}, listen);
 */
export function operatorRoutes(opts: OperatorApiOptions): HttpRoute[] {
  const jsonResponse = (json: unknown): Promise<HttpResponse> =>
    Promise.resolve({status: 200, body: {json}});
  return [
    {method: 'GET', path: '/metrics', handle: () => getMetrics(opts)},
    {
      method: 'GET',
      path: '/v1/status',
      handle: () => jsonResponse(opts.status()),
    },
    {method: 'POST', path: '/v1/releases', handle: req => applyNote(opts, req)},
    {
      method: 'GET',
      path: '/v1/releases',
      handle: () => jsonResponse(listReleases(opts.store.state)),
    },
    {
      method: 'GET',
      path: '/v1/releases/:number',
      handle: req => jsonResponse(getRelease(opts.store.state, req)),
    },
    {
      method: 'GET',
      path: '/v1/instances',
      handle: () => jsonResponse(listInstances(opts)),
    },
    {
      method: 'GET',
      path: '/v1/targets',
      handle: () => jsonResponse(listTargets(opts, false)),
    },
    {
      method: 'GET',
      path: '/v1/workers',
      handle: () => jsonResponse(listTargets(opts, true)),
    },
    {
      method: 'GET',
      path: '/v1/queues',
      handle: () => jsonResponse(listQueues(opts)),
    },
    {method: 'POST', path: '/v1/cluster', handle: () => formCluster(opts)},
    {method: 'POST', path: '/v1/drain', handle: () => drain(opts)},
    {
      method: 'POST',
      path: '/v1/views/:dataCentre/reset',
      handle: req => resetView(opts, req),
    },
  ];
}

async function getMetrics(opts: OperatorApiOptions): Promise<HttpResponse> {
  const {contentType, text} = await opts.metrics.render();
  return {
    status: 200,
    headers: {'content-type': contentType},
    body: Buffer.from(text),
  };
}

async function applyNote(
  opts: OperatorApiOptions,
  req: HttpRequest,
): Promise<HttpResponse> {
  const note = parseNote(decodeBody(req.body));
  const result = await opts.propose({
    kind: 'applyNote',
    note,
    fingerprint: fingerprintOfNote(note),
    atMs: opts.clock.wallNow(),
  });
  if (result.kind !== 'note') {
    throw DispatchError.mayHaveRun(
      'internal',
      'the release log returned no verdict on the note',
    );
  }
  const {verdict} = result;
  opts.log.emit('noteDecided', {noteId: note.noteId, verdict});
  if (verdict.kind === 'accepted') {
    return {status: 200, body: {json: {noteId: note.noteId, ...verdict}}};
  }
  const json = {
    verdict: 'notRun',
    code: 'conflict',
    message: verdict.reason,
    noteId: note.noteId,
    currentRelease: verdict.currentRelease,
  };
  return {status: 409, headers: {'papayarun-verdict': 'notRun'}, body: {json}};
}

function listReleases(state: ControlState): unknown {
  return {
    current: state.release,
    notes: state.history.map(({release, note, atMs}) => ({
      release,
      noteId: note.noteId,
      at: new Date(atMs).toISOString(),
      added: Object.keys(note.added),
      changed: Object.keys(note.changed),
      withdrawn: note.withdrawn,
    })),
  };
}

function getRelease(state: ControlState, req: HttpRequest): unknown {
  const releaseNumber = req.params['number']!;
  if (releaseNumber === 'current') {
    return {
      release: state.release,
      entries: state.entries,
      withdrawn: state.tombstones,
    };
  }
  const found = state.history.find(
    accepted => String(accepted.release) === releaseNumber,
  );
  if (!found) {
    throw DispatchError.notRun(
      'notFound',
      `release ${releaseNumber} is not in the release history`,
      {
        field: 'number',
      },
    );
  }
  return {
    release: found.release,
    at: new Date(found.atMs).toISOString(),
    note: found.note,
  };
}

function listInstances(opts: OperatorApiOptions): unknown {
  const nowMs = opts.clock.now();
  const peerRows = opts.membership
    .livePeers()
    .map(({instanceId, heartbeat, lastHeardMs}) => ({
      instanceId,
      dataCentre: heartbeat.dataCentre,
      boot: heartbeat.boot,
      state: heartbeat.state,
      stateIndex: heartbeat.stateIndex,
      heardMsAgo: Math.round(nowMs - lastHeardMs),
    }));
  const ownRow = {
    instanceId: opts.self,
    dataCentre: opts.dataCentre,
    boot: opts.membership.boot,
    state: opts.status()['state'],
    stateIndex: opts.store.index,
    heardMsAgo: 0,
  };
  return {instances: [ownRow, ...peerRows], views: opts.store.state.views};
}

function listTargets(opts: OperatorApiOptions, isWorker: boolean): unknown {
  const records = opts.registry
    .all()
    .filter(record => (record.announcement.worker !== undefined) === isWorker);
  const rows = records.map(record => describeTarget(record, opts.clock.now()));
  return isWorker ? {workers: rows} : {targets: rows};
}

function describeTarget(record: TargetRecord, nowMs: number): unknown {
  const {service, state, slots, url, worker} = record.announcement;
  return {
    targetId: record.id,
    service,
    state,
    keptHere: record.kept,
    health: record.health.kind,
    inFlight: record.inFlight,
    slots,
    url,
    heardMsAgo: Math.round(nowMs - record.lastAnnouncedMs),
    ...(worker && {
      rack: worker.rack,
      total: worker.total,
      used: worker.used,
      placed: record.placed,
    }),
  };
}

function listQueues(opts: OperatorApiOptions): unknown {
  const rows = [...opts.keeper.allPools()].map(([service, pool]) => ({
    service,
    ...pool.digest(),
    waitingByKind: pool.waitingByKind(),
  }));
  return {queues: rows};
}

async function formCluster(opts: OperatorApiOptions): Promise<HttpResponse> {
  const replicas = await opts.formCluster();
  opts.log.emit('operatorAction', {action: 'formCluster', replicas});
  return {status: 200, body: {json: {replicas}}};
}

function drain(opts: OperatorApiOptions): Promise<HttpResponse> {
  opts.log.emit('operatorAction', {action: 'drain'});
  opts.drain();
  return Promise.resolve({status: 202, body: {json: {draining: true}}});
}

async function resetView(
  opts: OperatorApiOptions,
  req: HttpRequest,
): Promise<HttpResponse> {
  const dataCentre = req.params['dataCentre'] as DataCentreId;
  if (dataCentre !== opts.dataCentre) {
    const message = `the view can be reset only through an instance of ${dataCentre}: only such an instance tracks which instances there are alive`;
    throw DispatchError.notRun('conflict', message, {field: 'dataCentre'});
  }
  const view = opts.store.state.views[dataCentre];
  const live = opts.membership
    .livePeers()
    .filter(peer => peer.heartbeat.dataCentre === dataCentre)
    .map(peer => ({instanceId: peer.instanceId, boot: peer.heartbeat.boot}));
  const result = await opts.propose({
    kind: 'setView',
    dataCentre,
    fromEpoch: view?.epoch ?? 0,
    members: [{instanceId: opts.self, boot: opts.membership.boot}, ...live],
    reset: {replaced: [], byOperator: true},
  });
  opts.log.emit('operatorAction', {action: 'resetView', dataCentre, result});
  return {status: 200, body: {json: result}};
}
