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
  configurationInForce: {
    number: 3011,
    level: 'info',
    text: 'a whole configuration came into force at this instance',
  },
  configurationDecided: {
    number: 3012,
    level: 'info',
    text: 'an operator sent a whole configuration; says the revision in force',
  },
  logFormed: {
    number: 3013,
    level: 'info',
    text: 'the replicated log was formed at the first start',
  },
  logNotFormed: {
    number: 3015,
    level: 'info',
    text: 'the log could not be formed yet; it is tried again',
  },
  schedulerGranted: {
    number: 3014,
    level: 'info',
    text: 'the leader granted a scheduler of a data centre',
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
  jobRefused: {
    number: 5006,
    level: 'info',
    text: 'decision: a job was refused before any of its tasks was sent',
  },
  taskPlaced: {
    number: 5007,
    level: 'info',
    text: 'decision: which target runs a task',
  },
  taskRetried: {
    number: 5008,
    level: 'info',
    text: 'decision: a task waits again after its run ended or was void',
  },
  stragglerStopped: {
    number: 5009,
    level: 'info',
    text: 'decision: a run that takes far too long is stopped',
  },
  taskAdopted: {
    number: 5011,
    level: 'info',
    text: 'decision: what becomes of a task that an earlier scheduler ordered',
  },
  jobSplit: {
    number: 5012,
    level: 'info',
    text: 'decision: a job goes in parts to several schedulers',
  },
  noQuote: {
    number: 5013,
    level: 'info',
    text: 'another scheduler did not say in time what it could do',
  },
  jobHandedOver: {
    number: 5010,
    level: 'info',
    text: 'decision: a job goes to another scheduler',
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
  targetTrust: {
    number: 6008,
    level: 'info',
    text: 'trust in a target changed',
  },
  targetSilent: {
    number: 6009,
    level: 'warn',
    text: 'target does not answer',
  },
  targetHeard: {
    number: 6010,
    level: 'info',
    text: 'target answers again',
  },
  orderUnanswered: {
    number: 6011,
    level: 'warn',
    text: 'an order to a target got no answer; it may be carried out',
  },
  reportNotPassedOn: {
    number: 6013,
    level: 'warn',
    text: 'the report of a leaving target did not reach its scheduler',
  },
  targetsNotListed: {
    number: 6014,
    level: 'warn',
    text: 'a state instance did not list the targets',
  },
  targetUnreadable: {
    number: 6015,
    level: 'warn',
    text: 'an answer of a target could not be read',
  },
  orphanStopped: {
    number: 6012,
    level: 'info',
    text: 'a run that no job claims is stopped',
  },
  jobStarted: {
    number: 7001,
    level: 'info',
    text: 'job was claimed and its tasks are being placed',
  },
  jobEnded: {number: 7002, level: 'info', text: 'job is complete or failed'},
  jobScheduled: {
    number: 7003,
    level: 'info',
    text: 'job ended at the scheduler; says how and why',
  },
  jobAnswered: {
    number: 7008,
    level: 'info',
    text: 'a caller was told how its job ended',
  },
  jobUnsupported: {
    number: 7009,
    level: 'warn',
    text: 'a job needs what this version does not serve',
  },
  schedulerBegun: {
    number: 7004,
    level: 'info',
    text: 'this instance schedules the data centre under a new token',
  },
  schedulerEnded: {
    number: 7005,
    level: 'info',
    text: 'this instance no longer schedules the data centre',
  },
  schedulerFenced: {
    number: 7006,
    level: 'warn',
    text: 'a target has seen a higher token; scheduling ends here',
  },
  schedulerLost: {
    number: 7007,
    level: 'warn',
    text: 'the scheduler of a data centre can not be reached',
  },
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
  operatorUnanswered: {
    number: 8005,
    level: 'warn',
    text: 'an operator could not be given a clear answer',
  },
  linesDropped: {
    number: 8004,
    level: 'warn',
    text: 'log lines were dropped to keep the volume bounded',
  },
} as const;
