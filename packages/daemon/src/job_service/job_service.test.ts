import type {Claims} from '@papayarun/claims';
import type {JobRunner} from '@papayarun/dispatch';
import type {
  BootId,
  ClaimId,
  ClaimRecord,
  DataCentreId,
  InstanceId,
  JobId,
  PeerNetwork,
} from '@papayarun/protocol';
import {describe, expect, it} from 'vitest';
import {JobService} from './job_service.js';

const ID = 'centro.1.abc.job-00001' as JobId;
const RECORD: ClaimRecord = {
  id: ID,
  claimId: 'claim1' as ClaimId,
  owner: 'centro-2' as InstanceId,
  ownerBoot: 'boot' as BootId,
  fingerprint: 'content',
  isAnswerGone: true,
  version: 2,
};

/** Service that knows a job of another instance, which was lost. */
function serviceWith(record: ClaimRecord): JobService {
  const claims: Pick<Claims, 'find' | 'isOwnerAlive'> = {
    find: () => record,
    isOwnerAlive: () => false,
  };
  const network: Pick<PeerNetwork, 'self' | 'onCall'> = {
    self: 'centro-1' as InstanceId,
    onCall: () => undefined,
  };
  return JobService.create({
    dataCentre: 'centro' as DataCentreId,
    network: network as PeerNetwork,
    claims: claims as Claims,
    runner: {} as JobRunner,
    pickReadyInstance: () => undefined,
  });
}

describe('JobService', () => {
  it.each([
    {kind: 'show', id: ID, waitMs: 0} as const,
    {kind: 'cancel', id: ID} as const,
  ])(
    'says in reply to $kind that a job has run whose answers were lost with its owner',
    async command => {
      expect(await serviceWith(RECORD).run(command)).toMatchObject({
        state: 'failed',
        refusal: {code: 'answerGone', verdict: {kind: 'ran'}},
      });
    },
  );

  it('does not say that a job has run whose end is not known', async () => {
    const {isAnswerGone, version, ...record} = RECORD;
    expect([isAnswerGone, version]).toEqual([true, 2]);
    expect(
      await serviceWith(record).run({kind: 'cancel', id: ID}),
    ).toMatchObject({
      refusal: {code: 'ownerLost', verdict: {kind: 'mayHaveRun'}},
    });
  });
});
