import type {RefusalCode} from './refusal_code.js';

const STATUS_OF_CODE: Readonly<Record<RefusalCode, number>> = {
  badRequest: 400,
  unauthorized: 401,
  tooLarge: 413,
  overloaded: 503,
  notFound: 404,
  unknownHome: 400,
  homeUnreachable: 503,
  idExpired: 409,
  idReused: 409,
  generationClosed: 409,
  claimTableFull: 503,
  claimUnavailable: 503,
  ownerLost: 502,
  answerGone: 410,
  noTargets: 503,
  queueFull: 503,
  deadline: 503,
  stillRunning: 504,
  quota: 429,
  neverFits: 422,
  cancelled: 409,
  draining: 503,
  notReady: 503,
  cutOff: 503,
  unknownService: 404,
  targetUnreachable: 502,
  targetFailed: 502,
  targetBusy: 503,
  truncatedAnswer: 502,
  crossedAnswer: 502,
  keeperLost: 502,
  taskFailed: 502,
  conflict: 409,
  noQuorum: 503,
  internal: 500,
};

/**
 * Returns the HTTP status code of a refusal code.
 *
 * @description Status codes follow RFC 9110; the verdict is sent in a header.
 * @param code - Code of the refusal.
 * @returns The HTTP status code of the response.
 * @throws Never.
 * @example
 * httpStatusOf('queueFull'); // 503
 */
export function httpStatusOf(code: RefusalCode): number {
  return STATUS_OF_CODE[code];
}
