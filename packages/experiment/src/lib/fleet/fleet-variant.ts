/** Variants of the fleet that differ in their decision modules. */
import type {ConfigurationSource} from '@fireflytrack/configuration';
import {RandomSelector} from '@fireflytrack/health';
import type {Probe, ServerSelector} from '@fireflytrack/health';
import {StaticShareLimiter} from '@fireflytrack/limits';
import type {TeamLimiter} from '@fireflytrack/limits';
import type {Membership} from '@fireflytrack/membership';
import type {TableService} from '@fireflytrack/platform';
import type {PeerNetwork} from '@fireflytrack/wire';
import {INSTANCES} from './deployment.js';

/** What the decision modules of one instance are built from. */
export interface InstanceContext {
  source: ConfigurationSource;
  network: PeerNetwork;
  membership: Membership;
  table: TableService;
  probe: Probe;
}

/** The decision modules of one instance. */
export interface DecisionModules {
  selector: ServerSelector;
  limiter: TeamLimiter;
  /** Retry budget, checked before each retry; unlimited if absent. */
  retries?: {tryTake(serviceName: string): boolean};
  /** Servers to which this instance sends no ordinary traffic. */
  ejectedServerIds(): string[];
  /** Planned stop: returns the instance's shares to the fleet. */
  stop(): Promise<void>;
}

export interface FleetVariant {
  name: 'naive' | 'fireflytrack';
  createModules(context: InstanceContext): DecisionModules;
}

/** Static shares, ejection after three consecutive faults, random selection. */
export const NAIVE_FLEET: FleetVariant = {
  name: 'naive',
  createModules({source}) {
    const selector = RandomSelector.create(source);
    return {
      selector,
      limiter: StaticShareLimiter.create(source, INSTANCES),
      ejectedServerIds: () => findRefusedServerIds(selector, source),
      stop: () => Promise.resolve(),
    };
  },
};

/**
 * Selects with every server but one excluded, for each server in turn, to find
 * those that the naive selector refuses. The selections are never settled,
 * since settling would reset the selector's count of consecutive faults.
 */
function findRefusedServerIds(
  selector: RandomSelector,
  source: ConfigurationSource,
): string[] {
  const refused: string[] = [];
  const current = source.current();
  if (!current) return refused;
  for (const service of current.configuration.services.values()) {
    const ids = service.servers.map(server => server.serverId);
    for (const id of ids) {
      const others = new Set(ids.filter(other => other !== id));
      if (selector.select(service.name, {excluded: others}).err) {
        refused.push(id);
      }
    }
  }
  return refused;
}
