/** A claim of this instance, from its creation until its outcome is stored. */
import {randomUUID} from 'node:crypto';
import {MAX_STORED_RESPONSE_BYTES, encodeResponse} from './claim-row.js';
import type {ClaimRow} from './claim-row.js';
import type {DispatchOutcome, StoredAnswer} from './once-registry.js';

export type ClaimState =
  /** The claim write was or will be sent; dispatch has not started. */
  | {kind: 'claiming'}
  | {kind: 'running'}
  /** Not run under this claim, now or later. */
  | {kind: 'not-run'}
  | {kind: 'done'; answer: StoredAnswer}
  /** It ran, and its response is too large to store. */
  | {kind: 'gone'}
  | {kind: 'unknown'};

export interface OwnClaimOptions {
  rowKey: string;
  claimer: string;
  requestDigest: string;
  /** Row version that the claim write expects; 0 for an insert. */
  ifVersion: number;
}

export class OwnClaim {
  readonly claimId = randomUUID();
  /** Monotonic time before the claim write was sent. */
  readonly startedAtMs = performance.now();
  private readonly createdAtMs = Date.now();
  /** Version of this claim's row; undefined until the table reported it. */
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

  /** Starts the only dispatch; returns false if the claim was abandoned. */
  startDispatch(): boolean {
    if (this.current.kind !== 'claiming') return false;
    this.current = {kind: 'running'};
    return true;
  }

  /** Abandons the claim for good; returns false when dispatch has started. */
  abandon(): boolean {
    if (this.current.kind !== 'claiming') return false;
    this.settle({kind: 'not-run'});
    return true;
  }

  recordOutcome(outcome: DispatchOutcome): void {
    if (outcome.kind !== 'answered') {
      this.settle({kind: outcome.kind});
    } else if (outcome.answer.body.length > MAX_STORED_RESPONSE_BYTES) {
      this.settle({kind: 'gone'});
    } else {
      this.settle({kind: 'done', answer: outcome.answer});
    }
  }

  /** Resolves when the claim is settled, or after `timeoutMs`. */
  whenSettled(timeoutMs: number): Promise<void> {
    if (this.isSettled()) return Promise.resolve();
    return new Promise(resolve => {
      const finish = () => {
        clearTimeout(timer);
        this.waiters.delete(finish);
        resolve();
      };
      const timer = setTimeout(finish, timeoutMs);
      this.waiters.add(finish);
    });
  }

  /** The row to store for the claim's current state. */
  toRow(): ClaimRow {
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
        return {...base, state: 'done', answer: encodeResponse(current.answer)};
      default:
        return {...base, state: current.kind};
    }
  }

  private settle(state: ClaimState): void {
    this.current = state;
    for (const finish of [...this.waiters]) finish();
  }
}
