/** Backend server selection, connections, attempts and retries. */
export type {HeaderNames} from './lib/http-conventions.js';
export {endToEndHeaders} from './lib/connection-headers.js';
export type {AttemptReport, UpstreamOutcome} from './lib/upstream-outcome.js';
export {INSTANCE_STOPS} from './lib/request-run.js';
export type {RunOptions} from './lib/request-run.js';
export {CrashSuspects, suspicionSchema} from './lib/crash-suspects.js';
export type {
  CrashSuspectsOptions,
  SuspectView,
  Suspicion,
} from './lib/crash-suspects.js';
export {KnownLimits} from './lib/known-limits.js';
export type {KnownLimit, ServerRun} from './lib/known-limits.js';
export type {
  GrantDecision,
  GrantRequest,
  LimitGrants,
} from './lib/limit-grants.js';
export type {RetryBudget, RetryCause} from './lib/retry-budget.js';
export type {Location} from './lib/server-picker.js';
export type {ServerBeliefs} from './lib/service-state.js';
export {Upstream} from './lib/upstream.js';
export type {UpstreamOptions} from './lib/upstream.js';
export type {
  UpstreamResponse,
  BufferedResponse,
  RequestBody,
  StreamedResponse,
  UpstreamRequest,
} from './lib/upstream-request.js';
