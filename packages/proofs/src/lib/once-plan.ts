/** What happens in one generated run of the at-most-once fleet. */
import fc from 'fast-check';

export const INSTANCES = 3;
export const KEYS = 3;

export interface PlannedCall {
  atMs: number;
  instance: number;
  key: number;
  /** Calls of a key with another variant carry another request digest. */
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
    /** Table calls fail without effect, as a refused connection does. */
    | 'table-refuses'
    /** Table calls have no effect and no answer. */
    | 'table-silent'
    | 'table-loses-answers'
    /** Table writes take effect `effectDelayMs` later. */
    | 'table-late';
  /** The fault starts this long after the planned call of this index. */
  call: number;
  offsetMs: number;
  durationMs: number;
  instance: number;
  /** Receiving side of a cut. */
  peer: number;
  /** Table faults of every instance instead of one. */
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
  /** Used in the order in which dispatches reach the backend server. */
  behaviors: BackendBehavior[];
}

const instance = fc.nat(INSTANCES - 1);

const call = fc.record({
  atMs: fc.oneof(fc.nat(60), fc.nat(3000), fc.nat(30_000)),
  instance,
  key: fc.nat(KEYS - 1),
  variant: fc.constantFrom(0, 0, 0, 0, 0, 0, 1),
  deadlineMs: fc.constantFrom(100, 800, 3000, 10_000),
});

const fault = fc.record({
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
    'table-late',
    'table-late',
  ),
  call: fc.nat(20),
  // Short offsets hit the steps between claim, dispatch and storing.
  offsetMs: fc.oneof(fc.nat(40), fc.nat(40), fc.nat(2000)),
  durationMs: fc.constantFrom(20, 300, 2000, 8000, 15_000),
  instance,
  peer: instance,
  everywhere: fc.boolean(),
  effectDelayMs: fc.constantFrom(200, 1100, 2500, 12_000),
});

const behavior = fc.record({
  kind: fc.constantFrom<BackendBehavior['kind']>(
    'answer',
    'answer',
    'answer',
    'decline',
    'unreachable',
    'crash-before',
    'crash-after',
  ),
  runMs: fc.constantFrom(0, 20, 700, 5000, 20_000),
  answerBytes: fc.constantFrom(20, 20, 20, 65_536, 65_537),
});

export const oncePlans: fc.Arbitrary<OncePlan> = fc.record({
  calls: fc.array(call, {minLength: 1, maxLength: 14}),
  faults: fc.array(fault, {maxLength: 6}),
  behaviors: fc.array(behavior, {minLength: 1, maxLength: 6}),
});
