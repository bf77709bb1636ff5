import type {KindId} from '@papayarun/protocol';
import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

/** Weight of a new sample in the moving means. */
const SMOOTHING_FACTOR = 0.05;
/** Samples of a kind below which no quantile is given. */
const MIN_SAMPLES_FOR_QUANTILE = 50;
/** Samples after which cached quantiles are computed again. */
const SAMPLES_PER_QUANTILE_REFRESH = 32;
/** Samples after which the histogram of a kind starts afresh. */
const MAX_HISTOGRAM_SAMPLES = 5_000;
/** Upper limit of recorded run times, in milliseconds; longer runs count as this. */
const MAX_RECORDED_RUN_MS = 3_600_000;
/** Expected run time without samples and without a declaration, in milliseconds. */
const DEFAULT_RUN_MS = 200;
/** Latest finished runs whose start times are kept. */
const MAX_RECENT_RUNS = 64;

interface KindRunTimes {
  meanMs: number;
  histogram: Histogram;
  /** Quantiles by percentile, cleared every SAMPLES_PER_QUANTILE_REFRESH samples. */
  cachedQuantiles: Map<number, number>;
}

/**
 * Learned run times by kind of work.
 *
 * @description Measured times replace the run times that callers declare as soon
 * as there are any. The histogram of a kind starts afresh after 5,000 samples,
 * so that the quantiles adapt to changed run times.
 */
export class RunTimes {
  private readonly kinds = new Map<KindId, KindRunTimes>();
  private overallMeanMs = 0;
  /** Ring buffer of the start times of the latest finished runs. */
  private readonly recentStartTimesMs: number[] = [];
  private finishedCount = 0;

  private constructor() {}

  /**
   * Creates run times without samples.
   *
   * @returns The run times.
   * @example
   * const times = RunTimes.create();
   */
  static create(): RunTimes {
    return new RunTimes();
  }

  /** Learned mean over all kinds, in milliseconds; 0 without samples. */
  get meanMs(): number {
    return this.overallMeanMs;
  }

  /** Number of finished runs that started after the given time, 64 at most. */
  finishedRunsStartedAfter(startedMs: number): number {
    return this.recentStartTimesMs.filter(start => start > startedMs).length;
  }

  /** Records the run time and the start time of a finished run. */
  record(kind: KindId, runMs: number, startedMs: number): void {
    this.recentStartTimesMs[this.finishedCount++ % MAX_RECENT_RUNS] = startedMs;
    this.overallMeanMs = exponentialAverage(this.overallMeanMs, runMs);
    let times = this.kinds.get(kind);
    if (!times || times.histogram.totalCount >= MAX_HISTOGRAM_SAMPLES) {
      const histogram = build({
        bitBucketSize: 32,
        highestTrackableValue: MAX_RECORDED_RUN_MS,
        numberOfSignificantValueDigits: 2,
      });
      times = {
        meanMs: times?.meanMs ?? 0,
        histogram,
        cachedQuantiles: new Map(),
      };
      this.kinds.set(kind, times);
    }
    times.meanMs = exponentialAverage(times.meanMs, runMs);
    if (times.histogram.totalCount % SAMPLES_PER_QUANTILE_REFRESH === 0) {
      times.cachedQuantiles.clear();
    }
    times.histogram.recordValue(
      Math.min(MAX_RECORDED_RUN_MS, Math.max(1, Math.round(runMs))),
    );
  }

  /**
   * Expected run time in milliseconds: the learned mean of the kind, else that
   * over all kinds, else the declared time, else a default.
   */
  expectedMs(kind: KindId, declaredMs?: number): number {
    const learned = this.kinds.get(kind)?.meanMs ?? this.overallMeanMs;
    return learned || declaredMs || DEFAULT_RUN_MS;
  }

  /** Learned quantile in milliseconds, or undefined with too few samples. */
  quantileMs(kind: KindId, percentile: number): number | undefined {
    const times = this.kinds.get(kind);
    if (!times || times.histogram.totalCount < MIN_SAMPLES_FOR_QUANTILE) {
      return undefined;
    }
    let value = times.cachedQuantiles.get(percentile);
    if (value === undefined) {
      value = times.histogram.getValueAtPercentile(percentile);
      times.cachedQuantiles.set(percentile, value);
    }
    return value;
  }
}

function exponentialAverage(meanMs: number, sampleMs: number): number {
  return meanMs === 0
    ? sampleMs
    : meanMs + SMOOTHING_FACTOR * (sampleMs - meanMs);
}
