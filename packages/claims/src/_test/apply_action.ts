import type fc from 'fast-check';
import type {anyAction} from './any_action.js';
import {INSTANCE_IDS} from './instance_ids.js';
import type {SimulatedDataCentre} from './simulated_data_centre.js';

type Action = typeof anyAction extends fc.Arbitrary<infer T> ? T : never;

/** Carries out an action in the simulated data centre. */
export async function applyAction(
  dataCentre: SimulatedDataCentre,
  step: Action,
): Promise<void> {
  switch (step.kind) {
    case 'new':
      dataCentre.send(step.at, dataCentre.newId());
      return;
    case 'resend': {
      const id = dataCentre.ids.at(-1 - step.back);
      if (id !== undefined) {
        dataCentre.send(step.at, id);
      }
      return;
    }
    case 'wait':
      await dataCentre.clock.advance(step.ms);
      return;
    case 'crash':
      dataCentre.crash(step.at);
      return;
    case 'start':
      dataCentre.start(step.at);
      return;
    case 'freeze':
      dataCentre.freeze(step.at);
      return;
    case 'thaw':
      dataCentre.thaw(step.at);
      return;
    case 'loseLog':
      dataCentre.setLogReachable(step.at, false);
      return;
    case 'cut':
      dataCentre.cut(step.at, step.to);
      return;
    case 'crashAll':
      INSTANCE_IDS.forEach(name => dataCentre.crash(name));
      return;
    case 'heal':
      dataCentre.heal();
      return;
    default:
      step satisfies never;
  }
}
