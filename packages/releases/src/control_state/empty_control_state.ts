import type {ControlState} from './control_state.js';

/** State before the first command. */
export const EMPTY_CONTROL_STATE: ControlState = {
  release: 0,
  entries: {},
  tombstones: {},
  verdicts: [],
  history: [],
  views: {},
  customers: {},
  schedulers: {},
  targetShards: {},
  lastToken: 0,
  evacuations: {},
};
