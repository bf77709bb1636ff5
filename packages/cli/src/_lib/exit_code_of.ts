import type {InstanceAnswer} from './call_instance.js';
import {EXIT_CODE} from './exit_code.js';

const FIRST_ERROR_STATUS = 400;

/**
 * Exit code of an answer, by its status and verdict.
 *
 * @param answer - Answer of an instance.
 * @returns The exit code.
 */
export function exitCodeOf(answer: InstanceAnswer): number {
  if (answer.status < FIRST_ERROR_STATUS) {
    return EXIT_CODE.ok;
  }
  switch (answer.headers['papayarun-verdict']) {
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
