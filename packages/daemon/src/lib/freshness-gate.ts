/**
 * Decides whether this instance may serve. It must not once it has been isolated
 * for so long that a key may have been withdrawn without its knowledge.
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

  /** Rejects all further requests. */
  close(): void {
    this.closed = true;
  }
}
