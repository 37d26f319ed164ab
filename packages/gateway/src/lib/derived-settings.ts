/** Values that follow from the settings of a gateway process. */
import type {HeaderNames} from '@fireflytrack/upstream';
import {FeedTiming} from '@fireflytrack/zone';
import type {GatewaySettings} from './gateway-settings.js';

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

/** Chooses the waits of the feeds and the limits on their ages. */
export function chooseFeedTimings({
  store,
  promises,
}: Pick<GatewaySettings, 'store' | 'promises'>): {
  policy: FeedTiming;
  servers: FeedTiming;
} {
  const {policy_apply_ms, server_leave_ms = policy_apply_ms} = promises;
  return {
    policy: FeedTiming.create({
      promiseMs: policy_apply_ms,
      waitMs: store.policy_wait_ms,
    }),
    servers: FeedTiming.create({
      promiseMs: server_leave_ms,
      waitMs: store.servers_wait_ms,
    }),
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
