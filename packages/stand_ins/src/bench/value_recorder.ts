import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

/** The histogram holds integers, so values are stored in thousandths. */
const SCALE = 1_000;

/**
 * Records values, such as durations in milliseconds or ratios of response time
 * to run time, in a histogram.
 */
export class ValueRecorder {
  private readonly histogram: Histogram = build({
    bitBucketSize: 64,
    highestTrackableValue: Number.MAX_SAFE_INTEGER,
    numberOfSignificantValueDigits: 3,
  });

  private constructor() {}

  static create(): ValueRecorder {
    return new ValueRecorder();
  }

  record(value: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(value * SCALE)));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  /** Returns the value at a percentile from 0 to 100. */
  valueAtPercentile(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / SCALE;
  }

  get mean(): number {
    return this.histogram.mean / SCALE;
  }
}
