/**
 * A policy indexed for request handling. Matching a route takes at most one map
 * lookup per slash in the path, regardless of the number of routes.
 */
import {digestKey} from './key-digest.js';
import {SplitChooser} from './split-chooser.js';
import type {
  RefusedRoute,
  ServicePolicy,
  TeamPolicy,
  TrafficPolicy,
  TrafficRoute,
} from './traffic-policy.js';

export type RouteMatch =
  | {kind: 'served'; route: TrafficRoute}
  /** Its requests are refused, because the route could not be read. */
  | {kind: 'refused'; route: RefusedRoute};

export class PolicyTable {
  private readonly routesByHost = new Map<string, Map<string, RouteMatch>>();
  private readonly teamsByDigest = new Map<string, TeamPolicy>();
  private readonly refusedKeyDigests: ReadonlySet<string>;
  private readonly teamsByName = new Map<string, TeamPolicy>();
  private readonly servicesByName = new Map<string, ServicePolicy>();
  private readonly choosers = new Map<string, SplitChooser>();

  private constructor(
    readonly policy: TrafficPolicy,
    previous: PolicyTable | undefined,
  ) {
    for (const route of policy.routes) {
      this.addMatch(route.host, route.prefix, {kind: 'served', route});
      if (route.parts.length > 1) this.addChooser(route, previous);
    }
    for (const route of policy.refusedRoutes ?? []) {
      this.addMatch(route.host, route.prefix, {kind: 'refused', route});
    }
    this.refusedKeyDigests = new Set(policy.refusedKeyDigests);
    for (const team of policy.teams ?? []) {
      this.teamsByName.set(team.name, team);
      for (const digest of team.keyDigests)
        this.teamsByDigest.set(digest, team);
    }
    for (const service of policy.services) {
      this.servicesByName.set(service.name, service);
    }
  }

  /** Splits with unchanged weights continue with the state of `previous`. */
  static create(policy: TrafficPolicy, previous?: PolicyTable): PolicyTable {
    return new PolicyTable(policy, previous);
  }

  get version(): number {
    return this.policy.version;
  }

  /** Whether routes that are not open require a team key. */
  get needsKeys(): boolean {
    return this.policy.teams !== undefined;
  }

  /** Returns the route of `host` whose prefix is the longest match of `path`. */
  matchRoute(host: string, path: string): RouteMatch | undefined {
    const byPrefix = this.routesByHost.get(host);
    if (!byPrefix) return undefined;
    let end = path.lastIndexOf('/');
    while (end >= 0) {
      const match = byPrefix.get(path.slice(0, end + 1));
      if (match) return match;
      end = end === 0 ? -1 : path.lastIndexOf('/', end - 1);
    }
    return undefined;
  }

  /** Returns the team that holds `key` (the plain key). */
  findTeamByKey(key: string): TeamPolicy | undefined {
    return this.teamsByDigest.get(digestKey(key));
  }

  /** Whether the team of `key` could not be read. */
  isRefusedKey(key: string): boolean {
    return (
      this.refusedKeyDigests.size > 0 &&
      this.refusedKeyDigests.has(digestKey(key))
    );
  }

  findTeam(name: string): TeamPolicy | undefined {
    return this.teamsByName.get(name);
  }

  findService(name: string): ServicePolicy | undefined {
    return this.servicesByName.get(name);
  }

  /** Chooses the service for the next request of `route` by weight. */
  chooseService(route: TrafficRoute): string {
    const chooser = this.choosers.get(chooserKey(route));
    return chooser ? chooser.next() : route.parts[0]!.service;
  }

  private addMatch(host: string, prefix: string, match: RouteMatch): void {
    const byPrefix = this.routesByHost.get(host) ?? new Map();
    byPrefix.set(prefix, match);
    this.routesByHost.set(host, byPrefix);
  }

  private addChooser(
    route: TrafficRoute,
    previous: PolicyTable | undefined,
  ): void {
    const id = chooserKey(route);
    const kept = previous?.choosers.get(id);
    this.choosers.set(id, kept ?? SplitChooser.create(route.parts));
  }
}

function chooserKey(route: TrafficRoute): string {
  const parts = route.parts.map(part => `${part.service}=${part.weight}`);
  return [route.host, route.prefix, ...parts].join(' ');
}
