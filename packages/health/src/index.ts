export type {
  NoServerError,
  SelectOptions,
  Selection,
  ServerOutcome,
  ServerSelector,
} from './lib/server-selector.js';
export {RandomSelector} from './lib/random-selector.js';
export {PooledSelector} from './lib/pooled-selector.js';
export type {PooledSelectorOptions} from './lib/pooled-selector.js';
export {EVIDENCE_KIND} from './lib/evidence-frame.js';
export type {EvidenceFrame} from './lib/evidence-frame.js';
export {createHttpProbe} from './lib/http-probe.js';
export type {IntervalScheduler} from './lib/interval-scheduler.js';
export type {Probe, ProbeResult} from './lib/probe.js';
export {RetryBudget} from './lib/retry-budget.js';
export type {HealthTransition} from './lib/rotation.js';
export type {ServerState, ServiceState} from './lib/service-state.js';
