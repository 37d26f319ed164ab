/** Builds the text of a policy with one open route, for tests. */
export function policyText(
  change: {version?: number; maxBodyBytes?: number} = {},
): string {
  return `
[policy]
version = ${change.version ?? 1}
[limits]
max_header_bytes = 16384
max_body_bytes = ${change.maxBodyBytes ?? 100_000}
header_timeout_ms = 1000
idle_timeout_ms = 15000
[service.counting]
health_path = /healthz
max_connections_per_server = 10
[route.reads]
host = shop.example
prefix = /reads/
execution = idempotent
parts = counting:100
timeout_ms = 1000
target_latency_ms = 500
max_attempts = 2
rank = 1
open = yes
`;
}
