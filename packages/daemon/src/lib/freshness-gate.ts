/**
 * Decides whether this instance may serve: not when it is cut off for so long
 * that a key withdrawn elsewhere may be unknown here.
 */
import type {ServingGate, ServingState} from '@fireflytrack/entry';
import type {FreshnessEvidence} from '@fireflytrack/membership';

export interface FreshnessGateOptions {
  evidence: FreshnessEvidence;
  freshnessLimitMs: number;
  /** `serve` prefers answers over the promise that withdrawals hold. */
  onIsolation: 'refuse' | 'serve';
}

export class FreshnessGate implements ServingGate {
  private stopped = false;

  private constructor(private readonly options: FreshnessGateOptions) {}

  static create(options: FreshnessGateOptions): FreshnessGate {
    return new FreshnessGate(options);
  }

  state(): ServingState {
    if (this.stopped) return 'stopping';
    const {evidence, freshnessLimitMs, onIsolation} = this.options;
    if (onIsolation === 'serve') return 'serving';
    return evidence.ageMs() <= freshnessLimitMs ? 'serving' : 'not-fresh';
  }

  /** Refuses every request from now on. */
  close(): void {
    this.stopped = true;
  }
}
