/** The decision modules of the product, as the daemon builds them. */
import {RandomSelector} from '@fireflytrack/health';
import {BorrowingLimiter} from '@fireflytrack/limits';
import {DisabledMetrics, createLogger} from '@fireflytrack/telemetry';
import type {FleetVariant} from './fleet-variant.js';

// Forty instances in one process: their logs would hide the figures.
const QUIET_LOGGER = createLogger({level: 'error', silent: true});

export const FIREFLYTRACK_FLEET: FleetVariant = {
  name: 'fireflytrack',
  createModules({source, network, membership, table}) {
    const metrics = DisabledMetrics.create();
    const common = {source, network, membership, logger: QUIET_LOGGER, metrics};
    const limiter = BorrowingLimiter.create({...common, table});
    limiter.start();
    return {
      selector: RandomSelector.create(source),
      limiter,
      ejectedServerIds: () => [],
      stop: () => limiter.stop(),
    };
  },
};
