/**
 * All log events with their number, level and message text.
 *
 * @description The number of a removed event is never reused. Ranges: 1xxx
 * process, 2xxx membership and connections between instances, 3xxx replicated
 * log, releases and configuration, 4xxx claims, 5xxx routing and placement
 * decisions, 6xxx targets, 7xxx jobs and schedulers, 8xxx caller and operator
 * interfaces.
 */
export const EVENT_CATALOGUE = {
  started: {
    number: 1001,
    level: 'info',
    text: 'process is listening on its ports',
  },
  ready: {number: 1002, level: 'info', text: 'instance accepts work'},
  draining: {
    number: 1003,
    level: 'info',
    text: 'shutdown began; requests in progress continue',
  },
  stopped: {
    number: 1004,
    level: 'info',
    text: 'process exits; the event has the number of requests still in progress',
  },
  paused: {
    number: 1005,
    level: 'warn',
    text: 'process was paused; the instance takes a new incarnation id',
  },
  settingsReloaded: {
    number: 1006,
    level: 'info',
    text: 'log settings were reloaded after SIGHUP',
  },
  settingsRefused: {
    number: 1007,
    level: 'error',
    text: 'settings could not be loaded; the previous settings stay in force',
  },
  unexpected: {
    number: 1008,
    level: 'error',
    text: 'unexpected internal error',
  },
  loopLate: {
    number: 1009,
    level: 'warn',
    text: 'event loop runs late; the process has too little processor time',
  },
  linkUp: {
    number: 2001,
    level: 'info',
    text: 'connection to a peer was established',
  },
  linkDown: {
    number: 2002,
    level: 'warn',
    text: 'connection to a peer was lost',
  },
  linkRefused: {
    number: 2003,
    level: 'warn',
    text: 'connection to a peer failed, or the peer could not be authenticated',
  },
  peerAlive: {number: 2004, level: 'info', text: 'peer is considered alive'},
  peerDead: {number: 2005, level: 'warn', text: 'peer is considered dead'},
  peerEnded: {
    number: 2006,
    level: 'warn',
    text: 'process of a peer has ended: its link was lost, and nothing listens at its address',
  },
  peerNotEnded: {
    number: 2007,
    level: 'info',
    text: 'link to a live peer was lost, and its process was not found to have ended; the event has the results of the connections to its address',
  },
  instancesNotListed: {
    number: 2008,
    level: 'warn',
    text: 'state instance did not say which instances it has heard from; another call follows',
  },
  replicaRole: {
    number: 3001,
    level: 'info',
    text: 'role of the replica changed',
  },
  replicaSet: {
    number: 3002,
    level: 'info',
    text: 'membership of the replicated log changed',
  },
  replicaFailed: {
    number: 3003,
    level: 'error',
    text: 'replica stopped after an unexpected error in a change of its durable state',
  },
  replicaAppendFailed: {
    number: 3004,
    level: 'error',
    text: 'journal append failed, as on a full disk; the replica continues and tries again',
  },
  logCompacted: {
    number: 3005,
    level: 'info',
    text: 'journal was compacted to a snapshot and the entries after it',
  },
  compactionFailed: {
    number: 3019,
    level: 'error',
    text: 'journal could not be compacted, as on a nearly full disk; the replica continues and tries again',
  },
  logTailCut: {
    number: 3006,
    level: 'warn',
    text: 'incomplete record at the end of the journal was truncated',
  },
  releaseInForce: {
    number: 3007,
    level: 'info',
    text: 'release took effect on this instance',
  },
  noteDecided: {
    number: 3008,
    level: 'info',
    text: 'release note was accepted or refused',
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
    text: 'complete configuration took effect on this instance',
  },
  configurationDecided: {
    number: 3012,
    level: 'info',
    text: 'operator submitted a complete configuration; the event has the revision in force',
  },
  logFormed: {
    number: 3013,
    level: 'info',
    text: 'replicated log was bootstrapped at the first start',
  },
  commandRefused: {
    number: 3016,
    level: 'error',
    text: 'leader refused a command that could not be applied',
  },
  electionLost: {
    number: 3017,
    level: 'warn',
    text: 'candidate got no majority; the event has the reply of each voter',
  },
  replicaRefused: {
    number: 3018,
    level: 'warn',
    text: 'replica is not admitted: it is a voter of its own log, but no member of this one',
  },
  leaderStalled: {
    number: 3020,
    level: 'error',
    text: 'leader committed nothing for long while entries waited; it steps down if the others heard can elect another',
  },
  logNotFormed: {
    number: 3015,
    level: 'info',
    text: 'replicated log could not be bootstrapped yet; the instance retries',
  },
  evacuationDecided: {
    number: 3021,
    level: 'info',
    text: 'operator ordered the evacuation of a data centre, or withdrew the order',
  },
  evacuationInForce: {
    number: 3022,
    level: 'info',
    text: 'instance learned that a data centre is evacuated; its schedulers there start no new jobs',
  },
  evacuationWithdrawn: {
    number: 3023,
    level: 'info',
    text: 'instance learned that a data centre is taken back; its targets are used by degrees',
  },
  schedulerGranted: {
    number: 3014,
    level: 'info',
    text: 'leader granted, or failed to grant, the scheduler role of a shard',
  },
  viewProposed: {
    number: 4001,
    level: 'info',
    text: 'change of the claim view was proposed',
  },
  viewChanged: {
    number: 4002,
    level: 'info',
    text: 'new claim view took effect',
  },
  viewJoined: {
    number: 4003,
    level: 'info',
    text: 'claim transfer is complete; this member now answers for the claims',
  },
  claimConflict: {
    number: 4004,
    level: 'info',
    text: 'id is already claimed; the caller gets the outcome of the first claim',
  },
  claimUnavailable: {
    number: 4005,
    level: 'warn',
    text: 'claim could not be recorded on all members of the view',
  },
  answerDropped: {
    number: 4006,
    level: 'info',
    text: 'answer of an id is no longer stored for lack of room',
  },
  releaseUnanswered: {
    number: 4007,
    level: 'warn',
    text: 'a member did not confirm that it withdrew a claim',
  },
  routed: {
    number: 5001,
    level: 'info',
    text: 'decision: instance chosen for a piece of work',
  },
  placed: {
    number: 5002,
    level: 'info',
    text: 'decision: target or worker chosen for a piece of work',
  },
  refused: {number: 5003, level: 'info', text: 'decision: work refused'},
  retried: {number: 5004, level: 'info', text: 'decision: work retried'},
  hedged: {
    number: 5005,
    level: 'info',
    text: 'decision: hedged request sent because the first one is slow',
  },
  jobRefused: {
    number: 5006,
    level: 'info',
    text: 'decision: job refused before any of its tasks was sent',
  },
  taskPlaced: {
    number: 5007,
    level: 'info',
    text: 'decision: targets chosen for tasks of a job',
  },
  taskRetried: {
    number: 5008,
    level: 'info',
    text: 'decision: task queued again after its run ended or was invalidated',
  },
  stragglerStopped: {
    number: 5009,
    level: 'info',
    text: 'decision: run stopped because it far exceeds its expected run time',
  },
  taskAdopted: {
    number: 5011,
    level: 'info',
    text: 'decision: task adopted from a run that was not known here, or marked done or requeued',
  },
  jobSplit: {
    number: 5012,
    level: 'info',
    text: 'decision: job split among several schedulers',
  },
  noQuote: {
    number: 5013,
    level: 'info',
    text: 'another scheduler did not return a quote for a job in time',
  },
  jobHandedOver: {
    number: 5010,
    level: 'info',
    text: 'decision: job handed over to another scheduler',
  },
  handoverRefused: {
    number: 5014,
    level: 'warn',
    text: 'next scheduler did not take a job that was handed over; the event has the reason',
  },
  targetAdded: {
    number: 6001,
    level: 'info',
    text: 'this instance is now the keeper, or the scheduler, of the target',
  },
  targetRunsLost: {
    number: 6018,
    level: 'warn',
    text: 'target was lost with runs on it; the event has how, and their tasks',
  },
  unknownRunListed: {
    number: 6019,
    level: 'info',
    text: 'target lists a run that no job here has; an earlier scheduler ordered it, or it was taken for ended; 128 of a list at most',
  },
  abandonedRunEnded: {
    number: 6020,
    level: 'info',
    text: 'run of a job that was given up has ended; the event has how, and the time since',
  },
  targetRestarted: {
    number: 6021,
    level: 'info',
    text: 'target runs as a new incarnation; the event has how many runs were lost, and of how many it is asked',
  },
  targetReportDoubted: {
    number: 6022,
    level: 'warn',
    text: 'report named another address and time of birth for a known target; the event has both, and whether it is believed',
  },
  targetsAssigned: {
    number: 6016,
    level: 'info',
    text: 'log assigned targets to shards of their data centre, or failed to',
  },
  targetsRemoved: {
    number: 6017,
    level: 'info',
    text: 'log removed targets that no longer exist from their shard, or failed to',
  },
  targetGone: {
    number: 6002,
    level: 'info',
    text: 'this instance is no longer the keeper, or the scheduler, of the target',
  },
  targetLeaving: {
    number: 6003,
    level: 'info',
    text: 'target is leaving and gets no new work',
  },
  targetEjected: {
    number: 6004,
    level: 'warn',
    text: 'target was ejected after repeated failures and gets no work for a while',
  },
  targetOnProbation: {
    number: 6005,
    level: 'info',
    text: 'target is on probation and gets one request at a time',
  },
  targetHealed: {number: 6006, level: 'info', text: 'target is healthy again'},
  leaseLost: {
    number: 6007,
    level: 'warn',
    text: 'worker no longer has a task that was assigned to it',
  },
  targetTrust: {
    number: 6008,
    level: 'info',
    text: 'trust state of a target changed',
  },
  targetSilent: {
    number: 6009,
    level: 'warn',
    text: 'target stopped responding',
  },
  targetHeard: {
    number: 6010,
    level: 'info',
    text: 'target responds again',
  },
  orderUnanswered: {
    number: 6011,
    level: 'warn',
    text: 'command to a target got no response; the target may still execute it',
  },
  reportNotPassedOn: {
    number: 6013,
    level: 'warn',
    text: 'report of a leaving target could not be forwarded to its scheduler',
  },
  targetsNotListed: {
    number: 6014,
    level: 'warn',
    text: 'list of targets could not be fetched from a state instance',
  },
  targetUnreadable: {
    number: 6015,
    level: 'warn',
    text: 'response of a target could not be parsed, or is too large',
  },
  orphanStopped: {
    number: 6012,
    level: 'info',
    text: 'run that belongs to no known job was stopped',
  },
  jobStarted: {
    number: 7001,
    level: 'info',
    text: 'job was claimed and its tasks are being placed',
  },
  jobEnded: {number: 7002, level: 'info', text: 'job completed or failed'},
  jobScheduled: {
    number: 7003,
    level: 'info',
    text: 'scheduler finished a job; the event has the outcome and the reason',
  },
  jobAnswered: {
    number: 7008,
    level: 'info',
    text: 'outcome of a job was returned to its caller',
  },
  requesterSilent: {
    number: 7011,
    level: 'warn',
    text: 'decision: jobs of an instance cancelled, which was silent for too long while it waited for them',
  },
  submissionWithdrawn: {
    number: 7012,
    level: 'info',
    text: 'instance no longer waits for a job here; the event has the cause, how long it had waited, and when it was last heard',
  },
  callerLeft: {
    number: 7013,
    level: 'info',
    text: 'caller of a job left before its answer; the event has the time since its request was read, and the schedulers that have the job',
  },
  jobHeld: {
    number: 7014,
    level: 'info',
    text: 'decision: job that was sent again held while runs of it might go on; the event has how long',
  },
  jobsInterrupted: {
    number: 7015,
    level: 'info',
    text: 'instance is lost, and runs of its jobs may go on; the event has how many',
  },
  allJobsHeld: {
    number: 7016,
    level: 'warn',
    text: 'decision: all jobs are held, since more were interrupted at once than can be named; the event has how long',
  },
  copyHeld: {
    number: 7017,
    level: 'info',
    text: 'decision: copy of a job waits, since another process has the job',
  },
  copyAnswered: {
    number: 7018,
    level: 'info',
    text: 'decision: copy of a job that has ended got the answer of the job; the event has how it ended',
  },
  jobNotRegistered: {
    number: 7019,
    level: 'warn',
    text: 'registrar of a job did not answer; the job runs unregistered, unless another process was known to have it',
  },
  jobCancelled: {
    number: 7020,
    level: 'info',
    text: 'caller cancelled a job by its id; the event has whether it was in progress, and whether all instances confirmed',
  },
  jobUnsupported: {
    number: 7009,
    level: 'warn',
    text: 'job requires a feature that this version does not support',
  },
  schedulerBegun: {
    number: 7004,
    level: 'info',
    text: 'this instance became scheduler of a shard under a new fencing token',
  },
  schedulerEnded: {
    number: 7005,
    level: 'info',
    text: 'this instance is no longer scheduler of a shard',
  },
  schedulerFenced: {
    number: 7006,
    level: 'warn',
    text: 'target has seen a higher fencing token; this instance stops scheduling',
  },
  schedulerLost: {
    number: 7007,
    level: 'warn',
    text: 'scheduler of a shard is unreachable',
  },
  jobSentAgain: {
    number: 7010,
    level: 'info',
    text: 'job arrived again; the event has the number of its tasks, and how many are done or still run',
  },
  badRequest: {
    number: 8001,
    level: 'info',
    text: 'malformed request was refused',
  },
  unauthorized: {
    number: 8002,
    level: 'warn',
    text: 'request with a missing or invalid key was refused',
  },
  operatorAction: {
    number: 8003,
    level: 'info',
    text: 'operator made a change',
  },
  operatorUnanswered: {
    number: 8005,
    level: 'warn',
    text: 'outcome of an operator request could not be determined',
  },
  limitReached: {
    number: 8006,
    level: 'warn',
    text: 'limit of unfinished requests was reached; the event has which one, and how often since the last line',
  },
  linesDropped: {
    number: 8004,
    level: 'warn',
    text: 'log lines were dropped to bound the log volume',
  },
} as const;
