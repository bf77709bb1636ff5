import type {ClaimRecord, Outcome} from '@papayarun/protocol';

/** Message of a refusal whose own message had no room. */
const MESSAGE_NOT_STORED = 'the reason is no longer stored';

/**
 * Returns the record of a claim whose outcome has no room.
 *
 * @description Of an answer, the fact remains that the work has run. Of a refusal,
 * the code and the verdict remain, since work that was refused or that failed may
 * not have run.
 * @param record - The claim.
 * @param outcome - Outcome of its work.
 * @returns The claim, with what is kept of the outcome.
 * @throws Never.
 * @example
 * recordWithoutAnswer(record, answered).isAnswerGone; // true
 */
export function recordWithoutAnswer(
  record: ClaimRecord,
  outcome: Outcome,
): ClaimRecord {
  const {id, claimId, owner, ownerBoot, fingerprint} = record;
  const claim = {id, claimId, owner, ownerBoot, fingerprint};
  switch (outcome.kind) {
    case 'answered':
      return {...claim, isAnswerGone: true, version: 2};
    case 'refused': {
      const {code, verdict} = outcome.refusal;
      const refusal = {code, verdict, message: MESSAGE_NOT_STORED};
      return {...claim, outcome: {kind: 'refused', refusal}};
    }
    default:
      return outcome satisfies never;
  }
}
