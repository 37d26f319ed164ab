/** Power of two choices by the expected wait. */
import type {ServerHealth} from './server-health.js';

export interface BalancerOptions {
  /** In the range [0, 1). */
  random(): number;
  /** Latency assumed for servers without a response yet. */
  usualLatencyMs: number;
}

/**
 * The better of two random servers. Both choices may fall on the same server,
 * so that one with a low weight still gets a few requests.
 */
export function pickOfTwo(
  servers: readonly ServerHealth[],
  options: BalancerOptions,
): ServerHealth | undefined {
  const first = servers[Math.floor(options.random() * servers.length)];
  const second = servers[Math.floor(options.random() * servers.length)];
  if (!first || !second || first === second) return first;
  const nowMs = performance.now();
  const {usualLatencyMs} = options;
  const isFirst =
    cost(first, usualLatencyMs, nowMs) <= cost(second, usualLatencyMs, nowMs);
  return isFirst ? first : second;
}

function cost(server: ServerHealth, usualMs: number, nowMs: number): number {
  const waiting = server.inFlight.size + server.peerOutstanding + 1;
  const latencyMs = server.path.expectedLatencyMs(usualMs);
  return (waiting * latencyMs) / server.weight(nowMs);
}
