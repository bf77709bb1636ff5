import type {ScheduledJob, TargetReport} from '@papayarun/protocol';
import {fitsIn} from '@papayarun/protocol';

/** What is known of a target. */
interface KnownTarget {
  readonly report: TargetReport;
  readonly isReleased: boolean;
}

/** Targets that can be gone through for each step. */
interface TargetList {
  values(): Iterable<KnownTarget>;
}

/**
 * Whether a job has a step that none of the known targets of its service can run,
 * even when idle.
 *
 * @description A target that does not answer or is ejected may run tasks again
 * soon, so it counts; one that drains or belongs to another shard does not. Without
 * any known target of the service nothing is said of the job.
 * @param job - The job.
 * @param targets - Known targets, also those of other services.
 * @returns True if a step requires a label or resources that no target has.
 * @throws Never.
 * @example
 * lacksTarget(jobWithLabel, targets);
 */
export function lacksTarget(job: ScheduledJob, targets: TargetList): boolean {
  const {service, steps} = job;
  return steps.some(({needs, requiredLabel}) => {
    let isServiceKnown = false;
    for (const {report, isReleased} of targets.values()) {
      if (
        isReleased ||
        report.state !== 'ready' ||
        report.service !== service
      ) {
        continue;
      }
      isServiceKnown = true;
      const hasLabel =
        requiredLabel === undefined || report.labels.includes(requiredLabel);
      if (hasLabel && fitsIn(needs, report.capacity)) {
        return false;
      }
    }
    return isServiceKnown;
  });
}
