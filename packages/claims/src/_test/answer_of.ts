import type {Outcome} from '@papayarun/protocol';

/** Outcome of work that was answered with a body. */
export function answerOf(body: Uint8Array): Outcome {
  return {
    kind: 'answered',
    answer: {status: 200, contentType: 'text/plain', body, release: 1},
  };
}
