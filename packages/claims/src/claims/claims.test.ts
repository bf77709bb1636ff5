import type {
  ClaimId,
  DataCentreId,
  InstanceId,
  Outcome,
} from '@papayarun/protocol';
import {DispatchError} from '@papayarun/protocol';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {anyAction} from '../_test/any_action.js';
import {answerOf} from '../_test/answer_of.js';
import {applyAction} from '../_test/apply_action.js';
import {INSTANCE_IDS} from '../_test/instance_ids.js';
import {SimulatedDataCentre} from '../_test/simulated_data_centre.js';

const DATA_CENTRE = 'centro' as DataCentreId;
const WAIT_MS = 1_500;
/** Time for which a restarted member is down, in milliseconds. */
const DOWN_MS = 350;
/** Longest delay of a link, which is shorter than the peer timeout, in ms. */
const MAX_DELAY_MS = 200;
const NUM_RUNS = Number(process.env['PAPAYARUN_RUNS'] ?? 150);
const SEED = Number(process.env['PAPAYARUN_SEED'] ?? 40);

/** Size of an answer that is not sent to the other members. */
const LARGE_ANSWER_BYTES = 64 * 1024 + 1;

/** Largest message between two instances, in bytes. */
const MAX_FRAME_BYTES = 8 << 20;

function failedOutcome(): Outcome {
  const {refusal} = DispatchError.mayHaveRun(
    'targetFailed',
    'the connection to the target was lost before it answered',
  );
  return {kind: 'refused', refusal};
}

/**
 * Outcome of an id by its running number: every third one fails, and the answers
 * of the others are around the limit.
 */
function outcomeNearLimit(id: string, maxAnswerBytes: number): Outcome {
  const n = Number(id.slice(id.lastIndexOf('-') + 1));
  const bytes = Math.max(0, maxAnswerBytes - 'text/plain'.length - 2 + (n % 5));
  return n % 3 === 0 ? failedOutcome() : answerOf(new Uint8Array(bytes));
}

describe('Claims', () => {
  it('start no id twice despite crashes, freezes, partitions and view changes', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(2 ** 30),
        fc.array(anyAction, {minLength: 5, maxLength: 50}),
        async (seed, steps) => {
          const dataCentre = new SimulatedDataCentre(seed);
          await dataCentre.clock.advance(2_000);
          for (const step of steps) {
            await applyAction(dataCentre, step);
          }
          dataCentre.heal();
          await dataCentre.clock.advance(4_000);
          for (const id of dataCentre.ids) {
            INSTANCE_IDS.forEach(name => dataCentre.send(name, id));
          }
          await dataCentre.clock.advance(2 * WAIT_MS);
          for (const id of dataCentre.ids) {
            expect(dataCentre.startsById.get(id) ?? 0).toBeLessThanOrEqual(1);
          }
          // The data centre is fully working again after any sequence of faults.
          const id = dataCentre.newId();
          dataCentre.send(INSTANCE_IDS[0]!, id);
          await dataCentre.clock.advance(WAIT_MS);
          expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['ran']));
          expect(dataCentre.views().map(view => view?.members.length)).toEqual([
            3, 3, 3,
          ]);
          INSTANCE_IDS.forEach(name => dataCentre.crash(name));
        },
      ),
      {seed: SEED, numRuns: NUM_RUNS},
    );
  });

  // The member without a link reset the claims that the restarted one held.
  it('are kept when a member restarts without a link to another one, and the third one ends', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(2 ** 30),
        fc.integer({min: 60, max: MAX_DELAY_MS}),
        fc.integer({min: 60, max: MAX_DELAY_MS}),
        async (seed, endDelayMs, linkDelayMs) => {
          const dataCentre = new SimulatedDataCentre(seed);
          const [a, b, c] = INSTANCE_IDS as [
            InstanceId,
            InstanceId,
            InstanceId,
          ];
          await dataCentre.clock.advance(2_000);
          const id = dataCentre.newId();
          dataCentre.send(a, id);
          await dataCentre.clock.advance(500);
          void dataCentre.terminate(b);
          await dataCentre.clock.advance(DOWN_MS);
          dataCentre.cut(b, c);
          dataCentre.start(b);
          await dataCentre.clock.advance(endDelayMs);
          void dataCentre.terminate(a);
          await dataCentre.clock.advance(linkDelayMs);
          dataCentre.connect(b, c);
          await dataCentre.clock.advance(2_000);
          const views = dataCentre.views();
          expect(views.map(view => view?.generation)).toEqual([1, 1]);
          expect(views[0]?.members.map(m => m.instanceId)).toEqual([b, c]);
          dataCentre.send(b, id);
          dataCentre.send(c, id);
          await dataCentre.clock.advance(2 * WAIT_MS);
          expect(dataCentre.startsById.get(id)).toBe(1);
          expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['ran']));
          [b, c].forEach(name => dataCentre.crash(name));
        },
      ),
      {seed: SEED, numRuns: NUM_RUNS},
    );
  });

  it('withdraw an own claim that reached a joining member after its withdrawal', async () => {
    const dataCentre = new SimulatedDataCentre(44);
    const [a, b, c] = INSTANCE_IDS as [InstanceId, InstanceId, InstanceId];
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    // A page of a claim transfer may be on its way to a joining member when the
    // attempt that it lists fails and is withdrawn.
    for (const name of [b, c]) {
      dataCentre.processes.get(name)!.table.put({
        id,
        claimId: 'withdrawn' as ClaimId,
        owner: a,
        ownerBoot: dataCentre.processes.get(a)!.membership.boot,
        fingerprint: 'content',
      });
    }
    dataCentre.send(a, id);
    await dataCentre.clock.advance(500);
    expect(dataCentre.startsById.get(id)).toBe(1);
    expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['ran']));
  });

  it('start no id twice whose answer is too large to keep', async () => {
    const dataCentre = new SimulatedDataCentre(1, 4);
    const [a, b] = INSTANCE_IDS as [InstanceId, InstanceId];
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    dataCentre.send(a, id);
    await dataCentre.clock.advance(500);
    dataCentre.send(b, id);
    dataCentre.send(a, id);
    await dataCentre.clock.advance(2 * WAIT_MS);
    expect(dataCentre.startsById.get(id)).toBe(1);
    expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['ran']));
  });

  it('start no id twice, and never deny that it ran, with little room for answers', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(2 ** 30),
        fc.nat(200),
        fc.array(anyAction, {minLength: 5, maxLength: 50}),
        async (seed, maxAnswerBytes, steps) => {
          const dataCentre = new SimulatedDataCentre(seed, maxAnswerBytes);
          await dataCentre.clock.advance(2_000);
          for (const step of steps) {
            await applyAction(dataCentre, step);
          }
          dataCentre.heal();
          await dataCentre.clock.advance(4_000);
          for (const id of dataCentre.ids) {
            INSTANCE_IDS.forEach(name => dataCentre.send(name, id));
          }
          await dataCentre.clock.advance(2 * WAIT_MS);
          for (const id of dataCentre.ids) {
            expect(dataCentre.startsById.get(id) ?? 0).toBeLessThanOrEqual(1);
            expect(dataCentre.verdictsById.get(id)).not.toContain('notRun');
          }
          INSTANCE_IDS.forEach(name => dataCentre.crash(name));
        },
      ),
      {seed: SEED, numRuns: NUM_RUNS},
    );
  });

  it('say that work has run whose large answer was lost with its owner', async () => {
    const dataCentre = new SimulatedDataCentre(2, 1 << 20, () =>
      answerOf(new Uint8Array(LARGE_ANSWER_BYTES)),
    );
    const [a, b] = INSTANCE_IDS as [InstanceId, InstanceId];
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    dataCentre.send(a, id);
    await dataCentre.clock.advance(500);
    dataCentre.crash(a);
    await dataCentre.clock.advance(1_000);
    dataCentre.send(b, id);
    await dataCentre.clock.advance(2 * WAIT_MS);
    expect(dataCentre.startsById.get(id)).toBe(1);
    expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['ran']));
  });

  it('give a large answer to a caller of another member while its owner runs', async () => {
    const dataCentre = new SimulatedDataCentre(2, 1 << 20, () =>
      answerOf(new Uint8Array(LARGE_ANSWER_BYTES)),
    );
    const [a, b] = INSTANCE_IDS as [InstanceId, InstanceId];
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    dataCentre.send(a, id);
    await dataCentre.clock.advance(500);
    let bytes = 0;
    void dataCentre.processes
      .get(b)!
      .claims.runOnce(
        id,
        'content',
        WAIT_MS,
        new AbortController().signal,
        () => Promise.reject(new Error('second start')),
      )
      .then(outcome => {
        bytes =
          outcome.kind === 'answered' ? outcome.answer.body.byteLength : -1;
      });
    await dataCentre.clock.advance(2 * WAIT_MS);
    expect(bytes).toBe(LARGE_ANSWER_BYTES);
  });

  it('do not say that work has run whose failure had no room', async () => {
    const dataCentre = new SimulatedDataCentre(3, 4, failedOutcome);
    const [a, b] = INSTANCE_IDS as [InstanceId, InstanceId];
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    dataCentre.send(a, id);
    await dataCentre.clock.advance(500);
    dataCentre.send(a, id);
    dataCentre.send(b, id);
    await dataCentre.clock.advance(2 * WAIT_MS);
    expect(dataCentre.startsById.get(id)).toBe(1);
    expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['mayHaveRun']));
  });

  it('say that an id ran only if it did, with outcomes around the limit', async () => {
    await fc.assert(
      fc.asyncProperty(
        fc.nat(2 ** 30),
        fc.nat(200),
        fc.array(anyAction, {minLength: 5, maxLength: 50}),
        async (seed, maxAnswerBytes, steps) => {
          const dataCentre = new SimulatedDataCentre(seed, maxAnswerBytes, id =>
            outcomeNearLimit(id, maxAnswerBytes),
          );
          await dataCentre.clock.advance(2_000);
          for (const step of steps) {
            await applyAction(dataCentre, step);
          }
          dataCentre.heal();
          await dataCentre.clock.advance(4_000);
          for (const id of dataCentre.ids) {
            INSTANCE_IDS.forEach(name => dataCentre.send(name, id));
          }
          await dataCentre.clock.advance(2 * WAIT_MS);
          for (const id of dataCentre.ids) {
            const starts = dataCentre.startsById.get(id) ?? 0;
            const verdicts = dataCentre.verdictsById.get(id);
            expect(starts).toBeLessThanOrEqual(1);
            expect(verdicts).not.toContain('notRun');
            const {kind} = outcomeNearLimit(id, maxAnswerBytes);
            if (starts === 0 || kind === 'refused') {
              expect(verdicts).not.toContain('ran');
            }
          }
          INSTANCE_IDS.forEach(name => dataCentre.crash(name));
        },
      ),
      {seed: SEED, numRuns: NUM_RUNS},
    );
  });

  it('do not acknowledge a claim of a removed member that has not learned of its removal', async () => {
    const dataCentre = new SimulatedDataCentre(41);
    const [a, b, c] = INSTANCE_IDS as [InstanceId, InstanceId, InstanceId];
    dataCentre.crash(c);
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    dataCentre.setLogReachable(a, false);
    dataCentre.cut(a, b);
    await dataCentre.clock.advance(1_000);
    dataCentre.start(c);
    dataCentre.cut(a, c);
    await dataCentre.clock.advance(1_000);
    expect(
      dataCentre.processes
        .get(b)!
        .state.views[DATA_CENTRE]!.members.map(m => m.instanceId),
    ).toEqual([b, c]);
    dataCentre.connect(a, b);
    await dataCentre.clock.advance(5);
    dataCentre.send(a, id);
    await dataCentre.clock.advance(1_000);
    dataCentre.crash(b);
    dataCentre.crash(a);
    await dataCentre.clock.advance(2_000);
    dataCentre.send(c, id);
    await dataCentre.clock.advance(2_000);
    expect(dataCentre.startsById.get(id)).toBe(1);
    expect(dataCentre.verdictsById.get(id)).toContain('ran');
  });

  it('are transferred to a new member before it answers for them', async () => {
    const dataCentre = new SimulatedDataCentre(42);
    const [a, b, c] = INSTANCE_IDS as [InstanceId, InstanceId, InstanceId];
    dataCentre.crash(c);
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    dataCentre.send(a, id);
    await dataCentre.clock.advance(500);
    dataCentre.start(c);
    await dataCentre.clock.advance(2_000);
    dataCentre.crash(a);
    dataCentre.crash(b);
    await dataCentre.clock.advance(2_000);
    dataCentre.send(c, id);
    await dataCentre.clock.advance(2_000);
    expect(dataCentre.startsById.get(id)).toBe(1);
    expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['ran']));
  });

  it('are transferred to a new member also if all kept answers exceed a message', async () => {
    const dataCentre = new SimulatedDataCentre(46, 64 << 20, () =>
      answerOf(new Uint8Array(LARGE_ANSWER_BYTES - 1)),
    );
    const [a, , c] = INSTANCE_IDS as [InstanceId, InstanceId, InstanceId];
    dataCentre.limitFrames(MAX_FRAME_BYTES);
    dataCentre.crash(c);
    await dataCentre.clock.advance(2_000);
    const count = Math.ceil((1.5 * MAX_FRAME_BYTES) / LARGE_ANSWER_BYTES);
    for (let n = 0; n < count; n++) {
      dataCentre.send(a, dataCentre.newId());
    }
    await dataCentre.clock.advance(500);
    expect(dataCentre.processes.get(a)!.table.keptBytes).toBeGreaterThan(
      MAX_FRAME_BYTES,
    );
    dataCentre.start(c);
    await dataCentre.clock.advance(3_000);
    const joined = dataCentre.processes.get(c)!;
    expect(joined.viewMembership.isSynced()).toBe(true);
    expect(joined.table.size).toBe(count);
  });

  it('take the end of the work from a transfer also for a claim that the new member holds', async () => {
    const dataCentre = new SimulatedDataCentre(45);
    const [a, b, c] = INSTANCE_IDS as [InstanceId, InstanceId, InstanceId];
    dataCentre.crash(c);
    await dataCentre.clock.advance(2_000);
    const id = dataCentre.newId();
    dataCentre.send(a, id);
    await dataCentre.clock.advance(500);
    const {outcome, ...claim} = dataCentre.processes.get(a)!.table.get(id)!;
    expect(outcome).toBeDefined();
    dataCentre.start(c);
    // The notice of the outcome, unlike the claim, may be lost on its way.
    dataCentre.processes.get(c)!.table.put(claim);
    await dataCentre.clock.advance(2_000);
    dataCentre.crash(a);
    dataCentre.crash(b);
    await dataCentre.clock.advance(2_000);
    dataCentre.send(c, id);
    await dataCentre.clock.advance(2_000);
    expect(dataCentre.startsById.get(id)).toBe(1);
    expect(dataCentre.verdictsById.get(id)).toEqual(new Set(['ran']));
  });

  it('do not start the work again when the restarted owner answers for its previous incarnation', async () => {
    for (let seed = 43; seed < 83; seed++) {
      const dataCentre = new SimulatedDataCentre(seed);
      const [a, b] = INSTANCE_IDS as [InstanceId, InstanceId];
      await dataCentre.clock.advance(2_000);
      const id = dataCentre.newId();
      dataCentre.send(a, id);
      await dataCentre.clock.advance(10 + (seed % 10));
      dataCentre.crash(a);
      dataCentre.send(b, id);
      dataCentre.start(a);
      await dataCentre.clock.advance(3_000);
      expect(dataCentre.startsById.get(id), `seed ${seed}`).toBe(1);
      INSTANCE_IDS.forEach(name => dataCentre.crash(name));
    }
  });
});
