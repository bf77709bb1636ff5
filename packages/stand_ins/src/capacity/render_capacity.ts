import type {Slope} from '../slopes/slope.js';
import {CAPACITY_SIZE as SIZE} from './capacity_size.js';
import type {SlopesDocument} from './slopes_document.js';

const SECONDS_PER_DAY = 86_400;
/** Time for which a claim is remembered: the default of the setting `claimWindowMs`. */
const CLAIM_WINDOW_SECONDS = 600;
/** Share of a core that an instance is planned to use at peak. */
const PLANNED_LOAD = 0.7;
const MEMBERS_PER_SHARD = 3;
const NODE_CORE_PERCENT = (SIZE.nodeCorePart * 100).toFixed(1);
const KIB = 1_024;
const MIB = 1_048_576;
/** Size of a worker's announcement on the wire in bytes: JSON and HTTP headers. */
const ANNOUNCEMENT_WIRE_BYTES = 640;
/** Size in bytes of the headers of one task start and its answer that count as control traffic. */
const TASK_CONTROL_BYTES = 420;

interface RoleRow {
  readonly role: string;
  readonly state: string;
  readonly messages: string;
  readonly cpu: string;
  readonly memory: string;
  readonly mechanism: string;
  readonly fits: string;
}

/**
 * Renders the capacity page from measured slopes.
 *
 * @param doc - Measured slopes.
 * @returns Capacity page in Markdown.
 * @throws Never.
 * @example
 * await writeFile('docs/CAPACITY.md', renderCapacity(doc));
 */
export function renderCapacity(doc: SlopesDocument): string {
  return [
    renderIntroduction(doc),
    renderSlopesTable(doc),
    renderRolesTable(buildRoleRows(doc)),
    renderUnmetRequirements(doc),
  ].join('\n');
}

/** Returns the number of cores that the data path needs at peak. */
function dataPathCores(doc: SlopesDocument): number {
  return SIZE.taskStartsPerSecond * doc.work.cpuPerTask.perUnit;
}

/** Returns the number of one-core entries that a data centre needs at peak. */
function entriesPerDataCentre(doc: SlopesDocument): number {
  return Math.ceil(dataPathCores(doc) / PLANNED_LOAD / SIZE.dataCentres);
}

function renderIntroduction(doc: SlopesDocument): string {
  return `# Capacity

Written by \`npm run capacity\` from \`docs/slopes.json\`, which \`npm run slopes\`
measures on one machine (${doc.node}): real instances on loopback, small stand-ins
as targets and workers. Slopes are least-squares lines; r2 says how straight the
points lie. Processor time is that of the measuring machine: take ratios and
orders of magnitude. The page works the slopes out to the size of two years from
now: ${formatNumber(SIZE.workers)} workers with ${formatNumber(SIZE.accelerators)} accelerators, ${formatNumber(SIZE.taskStartsPerSecond)} task starts a second in jobs
of up to ${SIZE.tasksPerJob} tasks, ${SIZE.teams} teams, ${SIZE.regions} regions, ${SIZE.dataCentres} data centres, ${formatNumber(SIZE.changesPerDay)} configuration
changes a day in force within ${SIZE.changeInForceSeconds} s; for control at most ${NODE_CORE_PERCENT} % of a core, 64 MB
and 5 KB/s a node, and ${SIZE.controlInstances} instances set aside.

Data path and control are separate budgets. A task start costs the entry that owns
its job and the keeper of its worker the processor time below; it costs a control
instance nothing: a claim is made once a job, not once a task, and lives on the
entries of the job's home data centre.
`;
}

function renderSlopesTable(doc: SlopesDocument): string {
  const {membership, work} = doc;
  const rows: ReadonlyArray<readonly [string, string, Slope]> = [
    [
      'repeatable request, decisions logged',
      formatMicroseconds(work.cpuPerRequest),
      work.cpuPerRequest,
    ],
    [
      'repeatable request, decisions not logged',
      formatMicroseconds(work.cpuPerRequestUnlogged),
      work.cpuPerRequestUnlogged,
    ],
    [
      'request with an id, three members',
      formatMicroseconds(work.cpuPerKeyedRequest),
      work.cpuPerKeyedRequest,
    ],
    [
      'its messages between instances',
      work.messagesPerKeyedRequest.perUnit.toFixed(1),
      work.messagesPerKeyedRequest,
    ],
    [
      'its bytes between instances',
      `${Math.round(work.bytesPerKeyedRequest.perUnit)} B`,
      work.bytesPerKeyedRequest,
    ],
    [
      'task of a job of 40',
      formatMicroseconds(work.cpuPerTask),
      work.cpuPerTask,
    ],
    [
      'its messages between instances',
      work.messagesPerTask.perUnit.toFixed(2),
      work.messagesPerTask,
    ],
    [
      'announcement',
      formatMicroseconds(work.cpuPerAnnouncement),
      work.cpuPerAnnouncement,
    ],
    [
      'its bytes between instances',
      `${Math.round(work.bytesPerAnnouncement.perUnit)} B`,
      work.bytesPerAnnouncement,
    ],
    [
      'remembered claim, on a member',
      `${Math.round(work.heapPerClaim.perUnit)} B heap`,
      work.heapPerClaim,
    ],
    [
      'waiting request with its connection',
      `${(work.rssPerQueued.perUnit / KIB).toFixed(1)} KiB resident`,
      work.rssPerQueued,
    ],
    [
      'configuration change, three instances',
      formatMicroseconds(work.cpuPerChange),
      work.cpuPerChange,
    ],
    [
      'its bytes between instances',
      `${Math.round(work.bytesPerChange.perUnit)} B`,
      work.bytesPerChange,
    ],
    [
      'live peer: processor',
      `${(membership.cpuPartOfCore.perUnit * 100).toFixed(4)} % of a core`,
      membership.cpuPartOfCore,
    ],
    [
      'live peer: messages sent',
      `${membership.messagesPerSecond.perUnit.toFixed(2)} /s`,
      membership.messagesPerSecond,
    ],
    [
      'live peer: bytes sent',
      `${Math.round(membership.bytesPerSecond.perUnit)} B/s`,
      membership.bytesPerSecond,
    ],
    [
      'live peer: memory',
      `${(membership.rssBytes.perUnit / KIB).toFixed(0)} KiB resident`,
      membership.rssBytes,
    ],
  ];
  const lines = rows.map(
    ([what, value, slope]) =>
      `| ${what} | ${value} | ${slope.r2.toFixed(3)} | ${slope.points.map(p => formatNumber(p.x)).join(', ')} |`,
  );
  const base = membership.rssBytes.base / MIB;
  return `## Slopes

| one more | costs | r2 | measured at |
|---|---|---|---|
${lines.join('\n')}

The rates are low for three instances, so each request pays for waking an idle process;
under load a request costs a third of it (MEASUREMENTS.md, processor time).

An idle instance takes ${base.toFixed(0)} MiB resident and ${(membership.cpuPartOfCore.base * 100).toFixed(2)} % of a core.
`;
}

function buildRoleRows(doc: SlopesDocument): RoleRow[] {
  const {membership, work} = doc;
  const workersPerDataCentre = SIZE.workers / SIZE.dataCentres;
  const entries = entriesPerDataCentre(doc);
  const jobsPerSecond = SIZE.taskStartsPerSecond / SIZE.tasksPerJob;
  const claimsPerDataCentre =
    (jobsPerSecond / SIZE.dataCentres) * CLAIM_WINDOW_SECONDS;
  const claimBytes = claimsPerDataCentre * work.heapPerClaim.perUnit;
  const peers = entries - 1;
  const memberCpu =
    membership.cpuPartOfCore.base + membership.cpuPartOfCore.perUnit * peers;
  const memberBytes = membership.bytesPerSecond.perUnit * peers;
  const announceCpu = workersPerDataCentre * work.cpuPerAnnouncement.perUnit;
  const changesPerSecond = SIZE.changesPerDay / SECONDS_PER_DAY;
  const viewChangesPerSecond =
    (2 * (SIZE.failuresPerDay + SIZE.restartsPerDay)) / SECONDS_PER_DAY;
  const startsPerWorker = SIZE.taskStartsPerSecond / SIZE.workers;
  const taskBytes = startsPerWorker * TASK_CONTROL_BYTES;
  return [
    {
      role: 'worker node',
      state: 'its own tasks and their leases',
      messages: '1 announcement a second; a renewal a task and 2 s',
      cpu: "the platform's; nothing of papayarun runs there",
      memory: '0',
      mechanism: 'announcements to any instance',
      fits: `yes: ${ANNOUNCEMENT_WIRE_BYTES} B/s of ${formatNumber(SIZE.nodeBytesPerSecond)}; but counting the headers of its ${startsPerWorker.toFixed(0)} starts a second as control, ${formatNumber(Math.round(taskBytes))} B/s: **no**`,
    },
    {
      role: 'taking announcements, a data centre',
      state: `${formatNumber(Math.round(workersPerDataCentre))} records at the keeper and again at the standby`,
      messages: `${formatNumber(Math.round(workersPerDataCentre))} /s in, ${formatNumber(Math.round(workersPerDataCentre * 2))} /s passed on at most`,
      cpu: `${announceCpu.toFixed(2)} cores over its ${entries} entries`,
      memory: "part of the entries'",
      mechanism:
        'rendezvous order: keeper and standby read it, others get digests',
      fits:
        announceCpu / entries < SIZE.nodeCorePart
          ? 'yes'
          : `**no** as control: ${((announceCpu / entries) * 100).toFixed(2)} % of a core an entry`,
    },
    {
      role: 'entries and keepers (data path), a data centre',
      state: 'queues, slots, health of kept workers',
      messages: `${formatNumber(Math.round(SIZE.taskStartsPerSecond / SIZE.dataCentres))} starts a second`,
      cpu: `${(dataPathCores(doc) / SIZE.dataCentres).toFixed(1)} cores, so ${entries} one-core entries at ${PLANNED_LOAD * 100} %`,
      memory: `${(membership.rssBytes.base / MIB).toFixed(0)} MiB and ${(work.rssPerQueued.perUnit / KIB).toFixed(1)} KiB a waiting request`,
      mechanism:
        'keepers, kind-wise choice, fair queue, quotas as parts of slots',
      fits: `by adding entries: ${entries * SIZE.dataCentres} in all; not measured beyond one machine`,
    },
    {
      role: 'claims, a data centre',
      state: `${formatNumber(Math.round(claimsPerDataCentre))} claims of full jobs in the window, without answers`,
      messages: `${formatNumber(Math.round(jobsPerSecond / SIZE.dataCentres))} jobs a second, 2 to each other member`,
      cpu: `${((jobsPerSecond / SIZE.dataCentres) * work.cpuPerKeyedRequest.perUnit).toFixed(2)} cores with three members`,
      memory: `${(claimBytes / MIB).toFixed(0)} MiB on each member`,
      mechanism: 'claim on all members of a view, one a job',
      fits: `memory yes; with ${entries} members a claim would take ${2 * (entries - 1)} messages: **no**, needs views of ${MEMBERS_PER_SHARD} members over shards of the ids`,
    },
    {
      role: 'membership, an instance',
      state: `${peers} peers of its data centre and the replicas`,
      messages: `${(membership.messagesPerSecond.perUnit * peers).toFixed(0)} /s`,
      cpu: `${(memberCpu * 100).toFixed(2)} % of a core`,
      memory: `${((membership.rssBytes.perUnit * peers) / MIB).toFixed(1)} MiB`,
      mechanism: 'heartbeats of all to all within a data centre',
      fits:
        memberCpu <= SIZE.nodeCorePart && memberBytes <= SIZE.nodeBytesPerSecond
          ? 'yes'
          : `**no**: ${(memberCpu * 100).toFixed(2)} % of ${NODE_CORE_PERCENT} %, ${formatNumber(Math.round(memberBytes))} B/s of ${formatNumber(SIZE.nodeBytesPerSecond)}; heartbeats to a few peers and digests apart from them`,
    },
    {
      role: 'release log, five voters of the 22',
      state: "releases, verdicts of 10,000 notes, views, customers' choices",
      messages: `${(changesPerSecond + viewChangesPerSecond).toFixed(2)} commands a second on average (${changesPerSecond.toFixed(2)} changes, ${viewChangesPerSecond.toFixed(2)} views)`,
      cpu: `${((changesPerSecond + viewChangesPerSecond) * work.cpuPerChange.perUnit * 100).toFixed(3)} % of a core for three instances`,
      memory:
        'the state; copied whole at each note, so its size is bounded by the settings of 120 teams',
      mechanism: 'replicated log, pulls by index in heartbeats',
      fits: `commands yes; links **no**: a replica links to every instance, ${formatNumber(entries * SIZE.dataCentres)} of them`,
    },
    {
      role: 'quotas',
      state: `${SIZE.teams} counters a pool`,
      messages: '0',
      cpu: 'part of a start',
      memory: 'some KiB',
      mechanism:
        "a part of every keeper's slots, so they add up without messages",
      fits: "yes, where a team's work is spread as its kind is",
    },
    {
      role: 'failures of an ordinary day',
      state: '–',
      messages: `${formatNumber(2 * (SIZE.failuresPerDay + SIZE.restartsPerDay))} view changes a day if all were entries`,
      cpu: "in the release log's",
      memory: '–',
      mechanism: 'views, handover, transfer of claims',
      fits: `yes, one at a time; a rejoining member takes over ${(claimBytes / MIB).toFixed(0)} MiB`,
    },
  ];
}

function renderRolesTable(rows: readonly RoleRow[]): string {
  const lines = rows.map(
    r =>
      `| ${[r.role, r.state, r.messages, r.cpu, r.memory, r.mechanism, r.fits].join(' | ')} |`,
  );
  return `## Roles at the size of two years from now

| role | state | messages | processor time | memory | mechanism | fits |
|---|---|---|---|---|---|---|
${lines.join('\n')}
`;
}

function renderUnmetRequirements(doc: SlopesDocument): string {
  return `## What does not fit yet

- **Data path.** ${formatNumber(Math.round(dataPathCores(doc)))} cores for ${formatNumber(SIZE.taskStartsPerSecond)} starts a second at the measured slope. That is
  ${formatNumber(entriesPerDataCentre(doc) * SIZE.dataCentres)} one-core instances; they are not among the ${SIZE.controlInstances} of control, but the users
  have not said how many there may be. The largest shares: HTTP on both sides and the
  two log lines a start; starting a job's tasks at a worker in one message is next.
- **An instance itself**: ${(doc.membership.rssBytes.base / MIB).toFixed(0)} MiB resident and ${(doc.membership.cpuPartOfCore.base * 100).toFixed(2)} % of a core idle are more than the 64 MB
  and ${NODE_CORE_PERCENT} % that a node may spend on control, so nothing of it may run on a worker node.
- **Claim views** hold all entries of a data centre. They need shards of three members.
- **Links.** Every replica links to every instance, and the members are listed in each
  settings file. At this size replicas should serve one instance a data centre, which
  passes commands on, and members should come from the release log.
- **Heartbeats** go from all to all in a data centre and carry the digests of all
  services; see the row on membership.
- **The control state** is copied for each note. Customers' choices in it are meant
  for today's size, not for millions of customers.
- **Regions** cut off for minutes are covered as data centres are; nothing uses the
  region's name yet.

What runs today, six or seven instances, about 30 targets and three data centres, is
measured in MEASUREMENTS.md.
`;
}

function formatMicroseconds(slope: Slope): string {
  return `${Math.round(slope.perUnit * 1e6)} µs`;
}

function formatNumber(value: number): string {
  return value.toLocaleString('en-US');
}
