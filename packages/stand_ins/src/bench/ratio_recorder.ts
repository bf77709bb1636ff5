import type {Histogram} from 'hdr-histogram-js';
import {build} from 'hdr-histogram-js';

/** Ratios are kept in thousandths. */
const SCALE = 1_000;

/**
 * Records ratios such as response time over run time.
 */
export class RatioRecorder {
  private readonly histogram: Histogram = build({
    bitBucketSize: 64,
    highestTrackableValue: Number.MAX_SAFE_INTEGER,
    numberOfSignificantValueDigits: 3,
  });

  private constructor() {}

  static create(): RatioRecorder {
    return new RatioRecorder();
  }

  record(ratio: number): void {
    this.histogram.recordValue(Math.max(1, Math.round(ratio * SCALE)));
  }

  get count(): number {
    return this.histogram.totalCount;
  }

  /** Value at a percentile, 0 to 100. */
  at(percentile: number): number {
    return this.histogram.getValueAtPercentile(percentile) / SCALE;
  }

  get mean(): number {
    return this.histogram.mean / SCALE;
  }
}
