/** Generated calls and faults of one run of the at-most-once fleet. */
import fc from 'fast-check';

export const INSTANCE_COUNT = 3;
export const KEY_COUNT = 3;

export interface PlannedCall {
  atMs: number;
  /** Index of the instance that receives the call. */
  instance: number;
  key: number;
  /** Calls of one key with different variants have different digests. */
  variant: number;
  deadlineMs: number;
}

export interface PlannedFault {
  kind:
    | 'pause'
    | 'crash'
    | 'stop'
    | 'cut'
    | 'slow-link'
    /** Table calls fail without effect, as with a refused connection. */
    | 'table-refuses'
    /** Table calls have no effect and get no response. */
    | 'table-silent'
    /** Table calls take effect at once but get no response. */
    | 'table-loses-answers'
    /** Table calls take effect at once; responses are `effectDelayMs` late. */
    | 'table-answers-late'
    /** Table calls take effect `effectDelayMs` after they are sent. */
    | 'table-late';
  /** Index of the planned call that the start of the fault relates to. */
  call: number;
  /** Time from that call to the start of the fault. */
  offsetMs: number;
  durationMs: number;
  instance: number;
  /** Index of the receiving instance of a `cut`. */
  peer: number;
  /** A table fault affects every instance instead of only `instance`. */
  everywhere: boolean;
  effectDelayMs: number;
}

export interface BackendBehavior {
  kind: 'answer' | 'decline' | 'unreachable' | 'crash-before' | 'crash-after';
  runMs: number;
  answerBytes: number;
}

export interface OncePlan {
  calls: PlannedCall[];
  faults: PlannedFault[];
  /** Used by the dispatches in their order, repeating from the start. */
  behaviors: BackendBehavior[];
}

const instanceIndex = fc.nat(INSTANCE_COUNT - 1);

const plannedCall = fc.record({
  atMs: fc.oneof(fc.nat(60), fc.nat(3000), fc.nat(30_000)),
  instance: instanceIndex,
  key: fc.nat(KEY_COUNT - 1),
  variant: fc.constantFrom(0, 0, 0, 0, 0, 0, 1),
  deadlineMs: fc.constantFrom(100, 800, 3000, 10_000),
});

const plannedFault = fc.record({
  kind: fc.constantFrom<PlannedFault['kind']>(
    'pause',
    'pause',
    'crash',
    'stop',
    'cut',
    'slow-link',
    'table-refuses',
    'table-silent',
    'table-loses-answers',
    'table-loses-answers',
    'table-answers-late',
    'table-late',
    'table-late',
  ),
  call: fc.nat(20),
  // Short offsets hit the steps between claim, dispatch and stored outcome.
  offsetMs: fc.oneof(fc.nat(40), fc.nat(40), fc.nat(2000)),
  durationMs: fc.constantFrom(20, 300, 2000, 8000, 15_000),
  instance: instanceIndex,
  peer: instanceIndex,
  everywhere: fc.boolean(),
  effectDelayMs: fc.constantFrom(200, 900, 1100, 2500, 12_000),
});

const backendBehavior = fc.record({
  kind: fc.constantFrom<BackendBehavior['kind']>(
    'answer',
    'answer',
    'answer',
    'decline',
    'unreachable',
    'crash-before',
    'crash-after',
  ),
  runMs: fc.constantFrom(0, 0, 20, 20, 700, 5000, 20_000),
  answerBytes: fc.constantFrom(20, 20, 20, 65_536, 65_537),
});

export const oncePlans: fc.Arbitrary<OncePlan> = fc.record({
  calls: fc.array(plannedCall, {minLength: 1, maxLength: 14}),
  faults: fc.array(plannedFault, {maxLength: 6}),
  behaviors: fc.array(backendBehavior, {minLength: 1, maxLength: 6}),
});
