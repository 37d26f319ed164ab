/** The decision modules of one kind of fleet, one copy per instance. */
import type {ConfigurationSource} from '@fireflytrack/configuration';
import {RandomSelector} from '@fireflytrack/health';
import type {Probe, ServerSelector} from '@fireflytrack/health';
import {StaticShareLimiter} from '@fireflytrack/limits';
import type {TeamLimiter} from '@fireflytrack/limits';
import type {Membership} from '@fireflytrack/membership';
import type {TableService} from '@fireflytrack/platform';
import type {PeerNetwork} from '@fireflytrack/wire';
import {INSTANCES} from './deployment.js';

export interface InstanceContext {
  source: ConfigurationSource;
  network: PeerNetwork;
  membership: Membership;
  table: TableService;
  probe: Probe;
}

export interface DecisionModules {
  selector: ServerSelector;
  limiter: TeamLimiter;
  /** Asked before each attempt but the first; unlimited if absent. */
  retries?: {tryTake(serviceName: string): boolean};
  /** Servers that this instance sends no ordinary traffic. */
  ejectedServerIds(): string[];
  /** Planned stop: returns what it owns to the fleet. */
  stop(): Promise<void>;
}

export interface FleetVariant {
  name: 'naive' | 'fireflytrack';
  createModules(context: InstanceContext): DecisionModules;
}

/** Static shares, three consecutive faults, random choice. */
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
 * Asks the naive selector for each server alone. The selections are never
 * settled, since settling would reset its count of consecutive faults.
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
      const others = new Set(ids.filter(one => one !== id));
      if (selector.select(service.name, {excluded: others}).err) {
        refused.push(id);
      }
    }
  }
  return refused;
}
