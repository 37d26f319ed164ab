/** A claim of this instance, from before its insert until it is stored. */
import {randomUUID} from 'node:crypto';
import {MAX_KEPT_ANSWER_BYTES, keepAnswer} from './claim-row.js';
import type {ClaimRow} from './claim-row.js';
import type {DispatchOutcome, StoredAnswer} from './once-registry.js';

export type ClaimState =
  /** The insert was or will be sent; dispatch has not started. */
  | {kind: 'claiming'}
  | {kind: 'running'}
  /** Not run under this claim, and never will be. */
  | {kind: 'not-run'}
  | {kind: 'done'; answer: StoredAnswer}
  | {kind: 'gone'}
  | {kind: 'unknown'};

export interface OwnClaimOptions {
  rowKey: string;
  claimer: string;
  requestDigest: string;
  /** Version that the claim's write expects; 0 for an insert. */
  ifVersion: number;
}

export class OwnClaim {
  readonly claimId = randomUUID();
  /** The claim counts from before its write was sent. */
  readonly startedAtMs = performance.now();
  private readonly createdAtMs = Date.now();
  /** Version of this claim's row; undefined until it was seen. */
  version: number | undefined;
  private current: ClaimState = {kind: 'claiming'};
  private readonly waiters = new Set<() => void>();

  private constructor(readonly options: OwnClaimOptions) {}

  static create(options: OwnClaimOptions): OwnClaim {
    return new OwnClaim(options);
  }

  get state(): ClaimState {
    return this.current;
  }

  get ageMs(): number {
    return performance.now() - this.startedAtMs;
  }

  isSettled(): boolean {
    return this.current.kind !== 'claiming' && this.current.kind !== 'running';
  }

  /** Starts the one dispatch; false when the claim was given up before. */
  begin(): boolean {
    if (this.current.kind !== 'claiming') return false;
    this.current = {kind: 'running'};
    return true;
  }

  /** Abandons the claim permanently; false when dispatch has started. */
  abandon(): boolean {
    if (this.current.kind !== 'claiming') return false;
    this.settle({kind: 'not-run'});
    return true;
  }

  end(outcome: DispatchOutcome): void {
    if (outcome.kind !== 'answered') {
      this.settle({kind: outcome.kind});
    } else if (outcome.answer.body.length > MAX_KEPT_ANSWER_BYTES) {
      this.settle({kind: 'gone'});
    } else {
      this.settle({kind: 'done', answer: outcome.answer});
    }
  }

  /** Resolves when the claim is settled, at the latest after `timeoutMs`. */
  whenSettled(timeoutMs: number): Promise<void> {
    if (this.isSettled()) return Promise.resolve();
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiters.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, timeoutMs);
      this.waiters.add(wake);
    });
  }

  /** The row for the claim's present state. */
  row(): ClaimRow {
    const {claimer, requestDigest} = this.options;
    const {claimId, createdAtMs, current} = this;
    const base = {claimId, claimer, requestDigest, createdAtMs};
    switch (current.kind) {
      case 'claiming':
      case 'running':
        return {...base, state: 'claimed'};
      case 'not-run':
        return {...base, state: 'abandoned'};
      case 'done':
        return {...base, state: 'done', answer: keepAnswer(current.answer)};
      default:
        return {...base, state: current.kind};
    }
  }

  private settle(state: ClaimState): void {
    this.current = state;
    for (const wake of [...this.waiters]) wake();
  }
}
