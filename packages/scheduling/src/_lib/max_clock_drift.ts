/**
 * Largest share by which the protocol of the targets allows their clocks to run
 * slow.
 */
export const MAX_CLOCK_DRIFT = 0.02;
