import type {JobOutcome} from '@papayarun/protocol';
import type {VirtualClock} from '@papayarun/test_kit';

/** Advances the clock until a job has ended; undefined after `maxMs`. */
export async function waitForOutcome(
  clock: VirtualClock,
  outcome: Promise<JobOutcome>,
  maxMs: number,
): Promise<JobOutcome> {
  let result: JobOutcome | undefined;
  void outcome.then(o => (result = o));
  for (let i = 0; i < maxMs && !result; i += 5) {
    await clock.advance(5);
  }
  return result!;
}
