import type {KindId} from '@papayarun/protocol';

/** Weight of a new observation in the learned means and variances. */
const LEARNING_RATE = 0.05;
/** Variance of log run times that is assumed before anything was seen. */
const FIRST_VARIANCE = 0.16;

interface KindStatistics {
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
export class RunEstimates {
  private readonly kinds = new Map<KindId, KindStatistics>();

  private constructor() {}

  /**
   * Makes estimates that know nothing.
   *
   * @returns The estimates.
   * @example
   * const estimates = RunEstimates.create();
   */
  static create(): RunEstimates {
    return new RunEstimates();
  }

  /**
   * Expected run time on a sound target.
   *
   * @param kind - Kind of the job.
   * @param declaredMs - What the caller declared; 0 for nothing.
   * @returns Milliseconds.
   */
  expect(kind: KindId, declaredMs: number): number {
    const known = this.kinds.get(kind);
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
   * Learns from a task that ended as done.
   *
   * @param kind - Kind of the job.
   * @param declaredMs - What the caller declared.
   * @param ranMs - How long it ran, corrected for the target's pace.
   */
  learn(kind: KindId, declaredMs: number, ranMs: number): void {
    const ranLog = Math.log(Math.max(1, ranMs));
    const bias = declaredMs > 0 ? ranLog - Math.log(declaredMs) : 0;
    const known = this.kinds.get(kind);
    if (!known) {
      this.kinds.set(kind, {
        meanLog: ranLog,
        varianceLog: FIRST_VARIANCE,
        biasLog: bias,
        biasVarianceLog: FIRST_VARIANCE,
      });
      return;
    }
    const off = ranLog - known.meanLog;
    known.meanLog += LEARNING_RATE * off;
    known.varianceLog += LEARNING_RATE * (off * off - known.varianceLog);
    const biasOff = bias - known.biasLog;
    known.biasLog += LEARNING_RATE * biasOff;
    known.biasVarianceLog +=
      LEARNING_RATE * (biasOff * biasOff - known.biasVarianceLog);
  }
}
