/**
 * Version of the refusals that this instance understands.
 *
 * @description 1, or absent in a message: all codes but `answerGone`. 2: all
 * codes.
 */
export const REFUSAL_VERSION = 2;
