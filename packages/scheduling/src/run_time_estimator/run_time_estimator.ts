import type {KindId} from '@papayarun/protocol';

/** Weight of a new sample in the moving means and variances. */
const LEARNING_RATE = 0.05;
/**
 * Variance of the logarithm of run times that is assumed at the first sample of
 * a kind.
 */
const INITIAL_VARIANCE = 0.16;

/** Number of samples from which the estimate of a kind counts as reliable. */
const MIN_SAMPLES = 20;

/** Moving statistics of the run times of a kind. */
interface KindStatistics {
  count: number;
  /** Mean of the logarithm of run times in milliseconds. */
  meanLog: number;
  /** Variance of the logarithm of run times. */
  varianceLog: number;
  /** Mean of the logarithm of run time over declared time. */
  biasLog: number;
  /** Variance of the logarithm of run time over declared time. */
  biasVarianceLog: number;
}

/**
 * Estimator of the run times of tasks, by kind of job.
 *
 * @description Combines two estimates of the logarithm of a run time by
 * inverse-variance weighting: the mean of the kind, and the declared time
 * corrected for its usual bias. Means and variances are learned from completed
 * tasks.
 */
export class RunTimeEstimator {
  private readonly statistics = new Map<KindId, KindStatistics>();

  private constructor() {}

  /**
   * Creates an estimator without samples.
   *
   * @returns The estimator.
   * @example
   * const estimator = RunTimeEstimator.create();
   */
  static create(): RunTimeEstimator {
    return new RunTimeEstimator();
  }

  /**
   * Expected run time on a target of usual speed.
   *
   * @param kind - Kind of the job.
   * @param declaredMs - Run time that the caller declared, in milliseconds; 0
   *   if none.
   * @returns The expected run time in milliseconds.
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
   * Whether there are enough samples of a kind to tell a straggler from a long
   * task.
   *
   * @param kind - Kind of the job.
   * @returns True if there are.
   */
  hasEnoughSamples(kind: KindId): boolean {
    return (this.statistics.get(kind)?.count ?? 0) >= MIN_SAMPLES;
  }

  /**
   * Adds the run time of a completed task.
   *
   * @param kind - Kind of the job.
   * @param declaredMs - Run time that the caller declared, in milliseconds; 0
   *   if none.
   * @param ranMs - Measured run time divided by the slowness of the target, in
   *   milliseconds.
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
    // The first samples have equal weights, as in an arithmetic mean.
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
