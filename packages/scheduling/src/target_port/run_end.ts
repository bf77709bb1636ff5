import type {EndReport} from './end_report.js';

/**
 * How a run ended: as its target listed it, or because its target crashed.
 */
export type RunEnd = EndReport['how'] | 'targetCrashed';
