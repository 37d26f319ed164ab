/**
 * Decides whether this instance may serve: not when it is cut off for so long
 * that a key withdrawn elsewhere may be unknown here.
 */
import type {ConfigurationDistribution} from '@fireflytrack/configuration';
import type {ServingGate, ServingState} from '@fireflytrack/entry';

export class FreshnessGate implements ServingGate {
  private closed = false;

  private constructor(
    private readonly distribution: Pick<ConfigurationDistribution, 'mayServe'>,
  ) {}

  static create(
    distribution: Pick<ConfigurationDistribution, 'mayServe'>,
  ): FreshnessGate {
    return new FreshnessGate(distribution);
  }

  state(): ServingState {
    if (this.closed) return 'stopping';
    return this.distribution.mayServe() ? 'serving' : 'not-fresh';
  }

  /** Refuses every request from now on. */
  close(): void {
    this.closed = true;
  }
}
