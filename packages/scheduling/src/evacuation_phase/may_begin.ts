import type {EvacuationPhase} from './evacuation_phase.js';

/**
 * Whether a job of which nothing has begun may begin in a data centre.
 *
 * @param phase - Phase of the data centre.
 * @param isPromised - Whether the job is a promised part of a job, of which
 *   other parts may have begun elsewhere.
 * @returns False if it has to be refused.
 * @throws Never.
 * @example
 * mayBegin({kind: 'leaving'}, false); // false
 */
export function mayBegin(phase: EvacuationPhase, isPromised: boolean): boolean {
  switch (phase.kind) {
    case 'inService':
    case 'returning':
      return true;
    case 'leaving':
      return isPromised;
    case 'evacuated':
      return false;
    default:
      return phase satisfies never;
  }
}
