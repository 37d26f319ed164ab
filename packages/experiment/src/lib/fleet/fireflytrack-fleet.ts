/** The decision modules of the product, composed as in the daemon. */
import {PooledSelector} from '@fireflytrack/health';
import {BorrowingLimiter} from '@fireflytrack/limits';
import {DisabledMetrics, createLogger} from '@fireflytrack/telemetry';
import type {FleetVariant} from './fleet-variant.js';

const EJECTED_PHASES: ReadonlySet<string> = new Set(['ejected']);
// The logs of forty instances in one process would drown the figures.
const QUIET_LOGGER = createLogger({level: 'error', silent: true});

export const FIREFLYTRACK_FLEET: FleetVariant = {
  name: 'fireflytrack',
  createModules({source, network, membership, table, probe}) {
    const metrics = DisabledMetrics.create();
    const common = {source, network, membership, logger: QUIET_LOGGER, metrics};
    const limiter = BorrowingLimiter.create({...common, table});
    const selector = PooledSelector.create({...common, probe});
    limiter.start();
    selector.start();
    return {
      selector,
      limiter,
      retries: selector.retryBudget,
      ejectedServerIds: () => listEjectedServerIds(selector),
      async stop() {
        await limiter.stop();
        selector.stop();
      },
    };
  },
};

function listEjectedServerIds(selector: PooledSelector): string[] {
  return selector
    .state()
    .flatMap(service => service.servers)
    .filter(server => EJECTED_PHASES.has(server.phase))
    .map(server => server.serverId);
}
