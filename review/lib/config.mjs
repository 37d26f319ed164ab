/** Configurations as the operator writes them. */
export const HOST = 'shop.example';
export const KEY = 'nn2ctnfzs989anu6wsjn';

export function route(name, kind, prefix, service, {aim = 1000, timeout = 2000, attempts = 2, priority = 1, open = false} = {}) {
  return {
    name,
    kind,
    aim_ms: aim,
    priority,
    public: open,
    match: {prefix},
    action: {service, timeout_ms: timeout, max_attempts: attempts},
  };
}

export function configuration(version, routes, {tenants, services, limits = {}} = {}) {
  const names = services ?? [...new Set(routes.map(({action}) => action.service))];
  return {
    version: `r${version}`,
    limits: {max_header_bytes: 16384, max_body_bytes: 1048576, header_timeout_ms: 3000, idle_timeout_ms: 15000, ...limits},
    tenants: tenants ?? [{name: 'cuka620', api_keys: [KEY], priority: 1, rate_per_s: 0, burst: 0}],
    listeners: [{host: HOST, policies: routes}],
    clusters: names.map(name => ({name, health_path: '/healthz', max_conns: 360})),
  };
}
