import type {KindId} from '@papayarun/protocol';

/** Weight of a new observation in the learned means and variances. */
const LEARNING_RATE = 0.05;
/** Variance of log run times that is assumed before anything was seen. */
const INITIAL_VARIANCE = 0.16;

/** Samples after which a kind's run times are trusted; a count. */
const MIN_SAMPLES = 20;

interface KindStatistics {
  count: number;
  /** Mean of the logarithm of run times, in log milliseconds. */
  meanLog: number;
  varianceLog: number;
  /** Mean and variance of the logarithm of run time over declared time. */
  biasLog: number;
  biasVarianceLog: number;
}

/**
 * Run times of tasks by kind, learned from ends and declared estimates.
 *
 * @description Two estimates of the logarithm of a run time, the kind's mean
 * and the declared one without its usual bias, are weighed by their learned
 * variances (inverse-variance weighting).
 */
export class RunTimeEstimator {
  private readonly statistics = new Map<KindId, KindStatistics>();

  private constructor() {}

  /**
   * Makes estimates that know nothing.
   *
   * @returns The estimates.
   * @example
   * const estimates = RunEstimates.create();
   */
  static create(): RunTimeEstimator {
    return new RunTimeEstimator();
  }

  /**
   * Expected run time on a sound target.
   *
   * @param kind - Kind of the job.
   * @param declaredMs - What the caller declared; 0 for nothing.
   * @returns Milliseconds.
   */
  estimateMs(kind: KindId, declaredMs: number): number {
    const known = this.statistics.get(kind);
    if (!known) {
      return Math.max(1, declaredMs);
    }
    if (declaredMs <= 0) {
      return Math.exp(known.meanLog);
    }
    const declaredLog = Math.log(declaredMs) + known.biasLog;
    const total = known.varianceLog + known.biasVarianceLog;
    const weight = total > 0 ? known.varianceLog / total : 0;
    return Math.exp(weight * declaredLog + (1 - weight) * known.meanLog);
  }

  /**
   * Whether enough was seen of a kind to tell a straggler from a long task.
   *
   * @param kind - Kind of the job.
   * @returns True once it was.
   */
  hasEnoughSamples(kind: KindId): boolean {
    return (this.statistics.get(kind)?.count ?? 0) >= MIN_SAMPLES;
  }

  /**
   * Learns from a task that ended as done.
   *
   * @param kind - Kind of the job.
   * @param declaredMs - What the caller declared.
   * @param ranMs - How long it ran, corrected for the target's pace.
   */
  addSample(kind: KindId, declaredMs: number, ranMs: number): void {
    const ranLog = Math.log(Math.max(1, ranMs));
    const bias = declaredMs > 0 ? ranLog - Math.log(declaredMs) : 0;
    const known = this.statistics.get(kind);
    if (!known) {
      this.statistics.set(kind, {
        count: 1,
        meanLog: ranLog,
        varianceLog: INITIAL_VARIANCE,
        biasLog: bias,
        biasVarianceLog: INITIAL_VARIANCE,
      });
      return;
    }
    known.count++;
    // The first samples weigh as in a plain mean.
    const rate = Math.max(LEARNING_RATE, 1 / known.count);
    const deviation = ranLog - known.meanLog;
    known.meanLog += rate * deviation;
    known.varianceLog +=
      LEARNING_RATE * (deviation * deviation - known.varianceLog);
    const biasDeviation = bias - known.biasLog;
    known.biasLog += rate * biasDeviation;
    known.biasVarianceLog +=
      LEARNING_RATE * (biasDeviation * biasDeviation - known.biasVarianceLog);
  }
}
