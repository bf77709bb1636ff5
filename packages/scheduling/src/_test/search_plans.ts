import fc from 'fast-check';
import type {CallerPlan} from './caller_plan.js';
import type {SearchPlan} from './search_plan.js';
import type {SimulatedFault} from './simulated_fault.js';

const callerPlans: fc.Arbitrary<CallerPlan> = record({
  atMs: fc.nat(1_500),
  tasks: fc.integer({min: 1, max: 6}),
  runMs: fc.constantFrom(60, 300, 800, 1_500, 2_500, 4_000),
  estimateMs: fc.constantFrom(60, 300, 1_500),
  leftMs: fc.constantFrom(1_500, 3_000, 6_000),
  entries: fc.array(fc.nat(2), {minLength: 2, maxLength: 3}),
  leaveAfterMs: fc.option(fc.integer({min: 5, max: 2_000}), {
    nil: undefined,
  }),
  againAfterDoneMs: fc.option(fc.integer({min: 100, max: 1_500}), {
    freq: 2,
    nil: undefined,
  }),
});

const atMs = fc.nat(5_000);
const forMs = fc.integer({min: 50, max: 4_000});
const centre = fc.nat(2);
const faultPlans: fc.Arbitrary<SimulatedFault> = fc.oneof(
  record({
    kind: fc.constantFrom('lostAnswers' as const, 'lateOrders' as const),
    atMs,
    forMs,
    share: fc.constantFrom(0.2, 0.5, 1),
  }),
  record({
    kind: fc.constant('cut' as const),
    atMs,
    forMs,
    centre,
    target: fc.option(fc.nat(2), {nil: undefined}),
  }),
  record({
    kind: fc.constant('crash' as const),
    atMs,
    centre,
    target: fc.nat(2),
  }),
  record({
    kind: fc.constant('handOver' as const),
    atMs,
    centre,
    gapMs: fc.nat(300),
  }),
  record({
    kind: fc.constant('kill' as const),
    atMs,
    centre,
    gapMs: fc.integer({min: 50, max: 1_100}),
  }),
);

const widePlans: fc.Arbitrary<SearchPlan> = record({
  seed: fc.nat(9_999),
  targets: fc.array(fc.integer({min: 1, max: 3}), {minLength: 2, maxLength: 3}),
  callers: fc.array(callerPlans, {minLength: 1, maxLength: 6}),
  faults: fc.array(faultPlans, {maxLength: 8}),
});

const soonMs = fc.nat(1_500);
const soonFaultPlans: fc.Arbitrary<SimulatedFault> = fc.oneof(
  record({
    kind: fc.constantFrom('lostAnswers' as const, 'lateOrders' as const),
    atMs: soonMs,
    forMs,
    share: fc.constant(1),
  }),
  record({
    kind: fc.constant('cut' as const),
    atMs: soonMs,
    forMs,
    centre: fc.constant(0),
    target: fc.constant(undefined),
  }),
  record({
    kind: fc.constant('handOver' as const),
    atMs: soonMs,
    centre: fc.constant(0),
    gapMs: fc.nat(300),
  }),
  record({
    kind: fc.constant('kill' as const),
    atMs: soonMs,
    centre: fc.constant(0),
    gapMs: fc.integer({min: 50, max: 1_100}),
  }),
);

/** Plans in which long tasks share the only target while it is not heard. */
const narrowPlans: fc.Arbitrary<SearchPlan> = record({
  seed: fc.nat(9_999),
  targets: fc.constant([1, 2]),
  callers: fc.array(
    record({
      atMs: fc.nat(300),
      tasks: fc.constant(1),
      runMs: fc.constantFrom(4_000, 2_500),
      estimateMs: fc.constant(60),
      leftMs: fc.constantFrom(6_000, 1_500),
      entries: fc.constantFrom([0, 1], [0, 0]),
      leaveAfterMs: fc.option(soonMs, {nil: undefined, freq: 2}),
      againAfterDoneMs: fc.constant(undefined),
    }),
    {minLength: 1, maxLength: 4},
  ),
  faults: fc.array(soonFaultPlans, {minLength: 1, maxLength: 4}),
});

/** Plans in which targets restart beside the other faults. */
export const restartPlans = plansWith(
  8,
  record<SimulatedFault>({
    kind: fc.constant('restart' as const),
    atMs: fc.nat(3_000),
    centre,
    target: fc.nat(2),
    reportAfterMs: fc.nat(600),
  }),
);

/** Plans in which a scheduler acts beside its successor for a while. */
export const replacePlans = plansWith(
  3,
  record<SimulatedFault>({
    kind: fc.constant('replace' as const),
    atMs: fc.nat(3_000),
    centre,
    endsAfterMs: fc.nat(3_000),
    isDeaf: fc.boolean(),
    unreachable: fc.option(fc.nat(2), {nil: undefined}),
  }),
);

/** Plans of a search, all of whose faults end. */
export const searchPlans: fc.Arbitrary<SearchPlan> = fc.oneof(
  widePlans,
  narrowPlans,
);

/** Plans with some faults of one kind beside others. */
function plansWith(
  maxFaults: number,
  fault: fc.Arbitrary<SimulatedFault>,
): fc.Arbitrary<SearchPlan> {
  return record({
    seed: fc.nat(9_999),
    targets: fc.array(fc.integer({min: 1, max: 3}), {
      minLength: 2,
      maxLength: 3,
    }),
    callers: fc.array(callerPlans, {minLength: 2, maxLength: 6}),
    faults: fc
      .tuple(
        fc.array(fault, {minLength: 1, maxLength: maxFaults}),
        fc.array(faultPlans, {maxLength: 4}),
      )
      .map(([faults, others]) => [...faults, ...others]),
  });
}

/** Record that is printed without its prototype. */
function record<T>(model: {
  [K in keyof T]: fc.Arbitrary<T[K]>;
}): fc.Arbitrary<T> {
  return fc.record(model, {noNullPrototype: true}) as fc.Arbitrary<T>;
}
