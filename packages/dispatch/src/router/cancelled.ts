import {DispatchError} from '@papayarun/protocol';

/** Abort reason of work whose requester has left. */
export const CANCELLED = DispatchError.notRun(
  'cancelled',
  'the requester no longer waits for the answer',
);
