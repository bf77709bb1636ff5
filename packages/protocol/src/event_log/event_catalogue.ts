/**
 * All log events: number, level and meaning.
 *
 * @description Numbers are never used again. 1xxx process, 2xxx membership
 * and links, 3xxx release log and releases, 4xxx claims, 5xxx routing and
 * placement decisions, 6xxx targets, 7xxx jobs, 8xxx interfaces.
 */
export const EVENT_CATALOGUE = {
  started: {
    number: 1001,
    level: 'info',
    text: 'process listens; has its ports',
  },
  ready: {number: 1002, level: 'info', text: 'instance takes work'},
  draining: {
    number: 1003,
    level: 'info',
    text: 'shutdown began; requests in progress go on',
  },
  stopped: {
    number: 1004,
    level: 'info',
    text: 'process ends; says how many requests were left',
  },
  paused: {
    number: 1005,
    level: 'warn',
    text: 'process stood still; takes a new incarnation',
  },
  settingsReloaded: {
    number: 1006,
    level: 'info',
    text: 'log settings were read again after SIGHUP',
  },
  settingsRefused: {
    number: 1007,
    level: 'error',
    text: 'settings could not be used; the old ones stay',
  },
  unexpected: {
    number: 1008,
    level: 'error',
    text: 'an error that no code expected',
  },
  linkUp: {number: 2001, level: 'info', text: 'link to a peer is open'},
  linkDown: {number: 2002, level: 'warn', text: 'link to a peer was lost'},
  linkRefused: {
    number: 2003,
    level: 'warn',
    text: 'a link could not be made or a peer did not prove itself',
  },
  peerAlive: {number: 2004, level: 'info', text: 'peer counts as alive'},
  peerDead: {number: 2005, level: 'warn', text: 'peer counts as dead'},
  replicaRole: {
    number: 3001,
    level: 'info',
    text: 'role of the replica changed',
  },
  replicaSet: {
    number: 3002,
    level: 'info',
    text: 'members of the replicated log changed',
  },
  replicaFailed: {
    number: 3003,
    level: 'error',
    text: 'replica stopped: its disk failed or is corrupt',
  },
  replicaAppendFailed: {
    number: 3004,
    level: 'error',
    text: 'an append failed and was undone; the replica goes on',
  },
  logCompacted: {
    number: 3005,
    level: 'info',
    text: 'journal was replaced by a snapshot and its tail',
  },
  logTailCut: {
    number: 3006,
    level: 'warn',
    text: 'an unfinished record at the end of the journal was cut',
  },
  releaseInForce: {
    number: 3007,
    level: 'info',
    text: 'a release came into force at this instance',
  },
  noteDecided: {
    number: 3008,
    level: 'info',
    text: 'a release note was accepted or refused',
  },
  cutOff: {
    number: 3009,
    level: 'warn',
    text: 'configuration can no longer be confirmed as the latest',
  },
  current: {
    number: 3010,
    level: 'info',
    text: 'configuration is confirmed as the latest again',
  },
  viewProposed: {
    number: 4001,
    level: 'info',
    text: 'a change of the claim view was proposed',
  },
  viewChanged: {
    number: 4002,
    level: 'info',
    text: 'a claim view came into force',
  },
  viewJoined: {
    number: 4003,
    level: 'info',
    text: 'claims were transferred; this member answers for them',
  },
  claimConflict: {
    number: 4004,
    level: 'info',
    text: 'an id was already claimed; the first outcome is given',
  },
  claimUnavailable: {
    number: 4005,
    level: 'warn',
    text: 'a claim could not be recorded on all members',
  },
  routed: {
    number: 5001,
    level: 'info',
    text: 'decision: which instance takes a piece of work',
  },
  placed: {
    number: 5002,
    level: 'info',
    text: 'decision: which target or worker runs it',
  },
  refused: {number: 5003, level: 'info', text: 'decision: work was refused'},
  retried: {number: 5004, level: 'info', text: 'decision: work is sent again'},
  hedged: {
    number: 5005,
    level: 'info',
    text: 'decision: a straggler is sent a second time',
  },
  targetAdded: {
    number: 6001,
    level: 'info',
    text: 'target is kept by this instance',
  },
  targetGone: {
    number: 6002,
    level: 'info',
    text: 'target is no longer kept here',
  },
  targetLeaving: {
    number: 6003,
    level: 'info',
    text: 'target leaves; it gets no new work',
  },
  targetEjected: {
    number: 6004,
    level: 'warn',
    text: 'target failed too often; it gets no work for a while',
  },
  targetOnProbation: {
    number: 6005,
    level: 'info',
    text: 'target is tried again, one request at a time',
  },
  targetHealed: {number: 6006, level: 'info', text: 'target is trusted again'},
  leaseLost: {
    number: 6007,
    level: 'warn',
    text: 'a worker no longer knows a task it was given',
  },
  jobStarted: {
    number: 7001,
    level: 'info',
    text: 'job was claimed and its tasks are being placed',
  },
  jobEnded: {number: 7002, level: 'info', text: 'job is complete or failed'},
  badRequest: {
    number: 8001,
    level: 'info',
    text: 'malformed request was refused',
  },
  unauthorized: {
    number: 8002,
    level: 'warn',
    text: 'request with a wrong or missing key was refused',
  },
  operatorAction: {
    number: 8003,
    level: 'info',
    text: 'an operator changed something',
  },
} as const;
