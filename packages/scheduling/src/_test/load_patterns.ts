import type {LoadKind} from './load_kind.js';
import type {LoadPattern} from './load_pattern.js';
import type {LoadShape} from './load_shape.js';

const SECOND_MS = 1_000;
/** Duration of a replay in seconds, which is one wave; CI uses the default. */
const LOAD_MS = Number(process.env['PAPAYARUN_LOAD_S'] ?? 8) * SECOND_MS;
/** Start and end of a burst, which is before the crest of the wave. */
const BURST_FROM_MS = 0.4 * LOAD_MS;
const BURST_TO_MS = 0.5 * LOAD_MS;
/** Shards of the replay; the deployment has about twice as many. */
const SHARDS = 9;
/** Targets of a shard in the deployment: an entry there has 0.324 cores. */
const TARGETS_EACH = 13;
/** Targets of the deployment, whose rates are scaled to those of the replay. */
const DEPLOYED_TARGETS = 245;
const SCALE = (SHARDS * TARGETS_EACH) / DEPLOYED_TARGETS;
/**
 * Time of an event on the loop of a scheduler, in milliseconds: at the mean rate
 * orders and answers take a third of its processor time.
 */
const EVENT_MS = 0.75;
const OPTS = {loadMs: LOAD_MS, eventMs: EVENT_MS};
const DEADLINE_MS = 1_517;
/** Deadline of jobs whose objective may be later than the usual deadline. */
const LONG_DEADLINE_MS = 3_000;
const MIN_SPEED = 0.8;
const MAX_SPEED = 1.25;
const SLACK_MS = 61;
const STRETCH = 1.6;
/** Number of tasks of a very large job, and its mean rate. */
const HUGE_WIDTH = 420;
const HUGE_PER_S = 0.4;
/** Rounds of the slots of twelve targets that it takes. */
const HUGE_ROUNDS = 18;

/** The larger deployment, or one of the same kind with smaller targets. */
function deployment(
  targetCores: number,
  meanCores: number,
  kinds: ReadonlyArray<Pick<LoadKind, 'name' | 'width' | 'runMs' | 'ratePerS'>>,
): LoadShape {
  return {
    shards: SHARDS,
    targetsEach: TARGETS_EACH,
    otherQuotes: 3,
    stretch: STRETCH,
    slackMs: SLACK_MS,
    largeCores: targetCores / 2,
    kinds: kinds.map((kind, priority) => ({
      ...kind,
      priority,
      ratePerS: kind.ratePerS * SCALE,
      leftMs: kind.name === 'long' ? LONG_DEADLINE_MS : DEADLINE_MS,
      cores: {mean: meanCores, sigma: 0.2, max: targetCores},
      widthSigma: 0,
      runSigma: 0.2,
    })),
    targetOf: (shard, index) => ({
      cores: targetCores,
      // Spread evenly over the range of speeds in each shard.
      slowness:
        1 /
        (MIN_SPEED +
          ((MAX_SPEED - MIN_SPEED) * ((index * 5 + shard * 3) % TARGETS_EACH)) /
            (TARGETS_EACH - 1)),
    }),
  };
}

const LARGER = deployment(64, 32, [
  {name: 'short', width: 8, runMs: 60, ratePerS: 144},
  {name: 'middle', width: 2, runMs: 200, ratePerS: 420},
  {name: 'long', width: 4, runMs: 900, ratePerS: 26},
]);

const SMALLER = deployment(32, 16, [
  {name: 'short', width: 8, runMs: 51, ratePerS: 127},
  {name: 'middle', width: 2, runMs: 170, ratePerS: 370},
  {name: 'long', width: 4, runMs: 760, ratePerS: 23},
]);

const [SHORT, MIDDLE, LONG] = LARGER.kinds as [LoadKind, LoadKind, LoadKind];

/** Twelve targets of two slots each, and a job of many tasks beside small ones. */
const ONE_LARGE: LoadShape = {
  ...LARGER,
  shards: 1,
  targetsEach: 12,
  otherQuotes: 0,
  kinds: [
    {
      ...SHORT,
      name: 'single',
      width: 1,
      ratePerS: 10,
      leftMs: 6 * SECOND_MS,
      runSigma: 0,
      cores: {mean: 32, sigma: 0, max: 32},
    },
    {
      ...SHORT,
      name: 'huge',
      width: HUGE_WIDTH,
      ratePerS: HUGE_PER_S,
      rounds: HUGE_ROUNDS,
      leftMs: 6 * SECOND_MS,
      runSigma: 0,
      cores: {mean: 32, sigma: 0, max: 32},
    },
  ],
  targetOf: () => ({cores: 64, slowness: 1}),
};

const MANY_LARGE: LoadShape = {
  ...LARGER,
  kinds: [
    ...LARGER.kinds,
    {...SHORT, name: 'wide', width: 60, ratePerS: 14 * SCALE},
  ],
};

/** Small tasks of a shard's targets beside some that need nearly all of one. */
const STARVING: LoadShape = {
  ...LARGER,
  kinds: [
    {
      ...MIDDLE,
      name: 'small',
      priority: 1,
      width: 8,
      ratePerS: 330 * SCALE,
      cores: {mean: 14, sigma: 0.2, max: 20},
    },
    {
      ...LONG,
      name: 'whole',
      priority: 1,
      width: 2,
      runMs: 200,
      ratePerS: 60 * SCALE,
      cores: {mean: 52, sigma: 0.1, max: 60},
    },
  ],
};

/** Factor of the rates of the deployment with smaller targets. */
const SMALLER_FACTOR = 1.25;

/** Share of the mean rate at a time of the wave of plus or minus a half. */
function wave(atMs: number): number {
  return 1 - 0.5 * Math.cos((2 * Math.PI * atMs) / LOAD_MS);
}

function waveRate(kind: LoadKind, atMs: number): number {
  return kind.ratePerS * wave(atMs);
}

function burstRate(name: string, factor: number): LoadPattern['rateOf'] {
  return (kind, atMs) => {
    const isBurst =
      kind.name === name && atMs >= BURST_FROM_MS && atMs < BURST_TO_MS;
    return (isBurst ? factor : 1) * waveRate(kind, atMs);
  };
}

/** The loads of the requirements that are replayed without a network. */
export const LOAD_PATTERNS: readonly LoadPattern[] = [
  {name: 'wave', leastShare: 0.91, shape: LARGER, opts: OPTS, rateOf: waveRate},
  {
    name: 'wave, smaller targets',
    leastShare: 0.91,
    shape: SMALLER,
    opts: OPTS,
    // At the mean rate of the deployment, 0.998 of the bound is reached.
    rateOf: (kind, atMs) => SMALLER_FACTOR * waveRate(kind, atMs),
  },
  {
    name: 'burst of the short kind',
    leastShare: 0.85,
    shape: LARGER,
    opts: OPTS,
    rateOf: burstRate('short', 2.5),
  },
  {
    name: 'burst of the long kind',
    leastShare: 0.89,
    shape: LARGER,
    opts: OPTS,
    rateOf: burstRate('long', 3),
  },
  {
    name: 'hot key',
    leastShare: 0.88,
    shape: LARGER,
    opts: {...OPTS, hotShare: 0.4},
    rateOf: waveRate,
  },
  {
    name: 'callers that give up',
    leastShare: 0.82,
    shape: LARGER,
    opts: {...OPTS, leavingShare: 0.3},
    rateOf: (kind, atMs) => 1.1 * waveRate(kind, atMs),
  },
  {
    name: 'one large job',
    leastShare: 0.78,
    shape: ONE_LARGE,
    opts: {...OPTS, loadMs: 3 * LOAD_MS},
    rateOf: kind => kind.ratePerS,
  },
  {
    name: 'many large jobs',
    leastShare: 0.9,
    shape: MANY_LARGE,
    opts: OPTS,
    rateOf: (kind, atMs) =>
      kind.name === 'wide' ? kind.ratePerS : 0.7 * waveRate(kind, atMs),
  },
  {
    name: 'large tasks beside small ones',
    leastShare: 0.94,
    shape: STARVING,
    opts: OPTS,
    rateOf: waveRate,
  },
  {
    name: 'refused callers return',
    leastShare: 0.8,
    shape: LARGER,
    opts: {...OPTS, areReturning: true},
    rateOf: (kind, atMs) => 1.3 * waveRate(kind, atMs),
  },
];
