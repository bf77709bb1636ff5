import type {InstanceResponse} from './call_instance.js';
import {EXIT_CODE} from './exit_code.js';

const MIN_ERROR_STATUS = 400;

/**
 * Determines the exit code for a response from its status and verdict.
 *
 * @param response - Response of an instance.
 * @returns The exit code.
 */
export function exitCodeOfResponse(response: InstanceResponse): number {
  if (response.status < MIN_ERROR_STATUS) {
    return EXIT_CODE.ok;
  }
  switch (response.headers['papayarun-verdict']) {
    case 'notRun':
      return EXIT_CODE.notRun;
    case 'mayHaveRun':
      return EXIT_CODE.mayHaveRun;
    case 'ran':
      return EXIT_CODE.ranWithError;
    default:
      return EXIT_CODE.failed;
  }
}
