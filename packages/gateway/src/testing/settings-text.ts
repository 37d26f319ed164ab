/** Builds the settings text of a gateway process for tests. */

export interface SettingsOverrides {
  instanceId?: string;
  availabilityZone?: string;
  port?: number;
  readyPort?: number;
  peerPort?: number;
  storePort?: number;
  level?: string;
  policyWaitMs?: number;
  revocationMs?: number;
  policyApplyMs?: number;
  stopWithinMs?: number;
  crashHoldMs?: number;
}

export function settingsText(overrides: SettingsOverrides): string {
  const {port = 1, readyPort = 2, peerPort = 3, storePort = 4} = overrides;
  const zone = overrides.availabilityZone ?? 'nord-a';
  return `
[instance]
id = ${overrides.instanceId ?? 'front-1'}
availability_zone = ${zone}
region = ${zone.split('-')[0]}
zones = nord-a:nord, sud-a:sud
max_instances = 4
[entry]
listen = 127.0.0.1:${port}
ready_listen = 127.0.0.1:${readyPort}
ready_path = /v1/ready
key_header = authorization
key_scheme = Token
[peer]
listen = 127.0.0.1:${peerPort}
[headers]
request_id = request-id
deadline_ms = request-deadline-ms
expected_server = expected-server
team = team
not_executed = not-executed
signature = signature
server_limit = server-limit
server_leaving = server-leaving
retry_after = retry-after
[store]
address = 127.0.0.1:${storePort}
policy_wait_ms = ${overrides.policyWaitMs ?? 300}
servers_wait_ms = 300
servers_pause_ms = 10
[promises]
revocation_ms = ${overrides.revocationMs ?? 1500}
policy_apply_ms = ${overrides.policyApplyMs ?? 500}
stop_within_ms = ${overrides.stopWithinMs ?? 4000}
lapse_grace_ms = 500
repeat_ratio = 0.2
repeat_allowance = 60
repeat_window_ms = 10000
floor_share = 0.7
rate_overrun = 0.1
rate_slack = 20
[crashes]
hold_after = 3
hold_ms = ${overrides.crashHoldMs ?? 300_000}
[log]
level = ${overrides.level ?? 'info'}
`;
}
