/** Values that follow from the settings of a gateway process. */
import type {HeaderNames} from '@fireflytrack/upstream';
import type {GatewaySettings} from './gateway-settings.js';

// What a promise leaves for noticing a silent connection and reading again, and
// the bounds of the waits that follow from it.
const FEED_WAIT_RESERVE_MS = 1000;
const MIN_FEED_WAIT_MS = 300;
const MAX_FEED_WAIT_MS = 2000;
// When the fleet starts for the first time, instances join one after the other,
// the large ones first: they become leaders, and the others find them. Otherwise
// all would write the same rows at the same time.
const FIRST_START_SPREAD_MS = 300;
const MAX_FIRST_START_SPREAD_MS = 1500;
// Share of the machine's memory for the bodies of requests.
const BODY_MEMORY_SHARE = 0.25;
const DEFAULT_MEMORY_MB = 256;
const BYTES_PER_MB = 1_000_000;

export function toHeaderNames(settings: GatewaySettings): HeaderNames {
  const {headers} = settings;
  return {
    requestId: headers.request_id,
    deadlineMs: headers.deadline_ms,
    expectedServer: headers.expected_server,
    team: headers.team,
    notExecuted: headers.not_executed,
    signature: headers.signature,
    serverLimit: headers.server_limit,
    serverLeaving: headers.server_leaving,
    retryAfter: headers.retry_after,
  };
}

/**
 * Chooses the longest waits of calls for changes. A connection that has gone
 * silent shows only at the end of one, which has to leave time for reading the
 * changes within the promises.
 */
export function chooseFeedWaits({
  store,
  promises,
}: Pick<GatewaySettings, 'store' | 'promises'>): {
  policyMs: number;
  serversMs: number;
} {
  const {policy_apply_ms, server_leave_ms = policy_apply_ms} = promises;
  const derive = (promiseMs: number) =>
    Math.max(
      MIN_FEED_WAIT_MS,
      Math.min(promiseMs - FEED_WAIT_RESERVE_MS, MAX_FEED_WAIT_MS),
    );
  return {
    policyMs: store.policy_wait_ms ?? derive(policy_apply_ms),
    serversMs: store.servers_wait_ms ?? derive(server_leave_ms),
  };
}

/** Spreads the joins of a fleet that starts for the first time. */
export function chooseStartDelayMs({
  instance,
}: Pick<GatewaySettings, 'instance'>): number {
  if (instance.first_start !== 'true') return 0;
  const spreadMs = FIRST_START_SPREAD_MS / (instance.processor_share ?? 1);
  const delayMs = Math.min(spreadMs, MAX_FIRST_START_SPREAD_MS);
  return delayMs * (0.5 + Math.random());
}

/** Memory for the bodies of all open requests. */
export function chooseBodyMemoryBytes({
  instance,
}: Pick<GatewaySettings, 'instance'>): number {
  const {memory_mb: memoryMb = DEFAULT_MEMORY_MB} = instance;
  return memoryMb * BYTES_PER_MB * BODY_MEMORY_SHARE;
}
