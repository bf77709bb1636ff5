import type {EVENT_CATALOGUE} from './event_catalogue.js';

/**
 * Name of a log event in the catalogue.
 */
export type EventName = keyof typeof EVENT_CATALOGUE;
