/** Load balancing by the power of two choices, comparing the expected wait. */
import type {ServerHealth} from './server-health.js';

export interface BalancerOptions {
  /** Returns a number in the range [0, 1). */
  random(): number;
  /** Latency assumed for servers without a response yet. */
  defaultLatencyMs: number;
}

/**
 * Returns the one of two random servers with the shorter expected wait;
 * undefined if there are no servers. The same server may be drawn twice, so
 * that one with a low weight still gets a few requests.
 */
export function pickOfTwo(
  servers: readonly ServerHealth[],
  options: BalancerOptions,
): ServerHealth | undefined {
  const first = servers[Math.floor(options.random() * servers.length)];
  const second = servers[Math.floor(options.random() * servers.length)];
  if (!first || !second || first === second) return first;
  const nowMs = performance.now();
  const {defaultLatencyMs} = options;
  const firstIsBetter =
    expectedWait(first, defaultLatencyMs, nowMs) <=
    expectedWait(second, defaultLatencyMs, nowMs);
  return firstIsBetter ? first : second;
}

/** Expected wait, scaled up for a server whose weight is below 1. */
function expectedWait(
  server: ServerHealth,
  defaultLatencyMs: number,
  nowMs: number,
): number {
  const queueLength = server.inFlight.size + server.peerOutstanding + 1;
  const latencyMs = server.path.expectedLatencyMs(defaultLatencyMs);
  return (queueLength * latencyMs) / server.weight(nowMs);
}
