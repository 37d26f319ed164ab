export {BoundedLog} from './lib/bounded-log.js';
export type {BoundedLogOptions} from './lib/bounded-log.js';
export {createLogger} from './lib/logger.js';
export type {Logger, LoggerOptions} from './lib/logger.js';
export {StatsdMetrics, DisabledMetrics} from './lib/metrics.js';
export type {Metrics, MetricTags, StatsdOptions} from './lib/metrics.js';
export {StateDump} from './lib/state-dump.js';
export type {StateProvider} from './lib/state-dump.js';
