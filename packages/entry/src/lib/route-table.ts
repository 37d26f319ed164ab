/**
 * Finds the route of a request. Exact paths take precedence over prefixes, and
 * longer prefixes over shorter ones; a lookup is linear in the path's depth.
 */
import type {Configuration, Route} from '@fireflytrack/configuration';

export class RouteTable {
  private readonly routesByPath = new Map<string, Route[]>();

  static create(configuration: Configuration): RouteTable {
    const table = new RouteTable();
    for (const route of configuration.routes) {
      const routes = table.routesByPath.get(route.path) ?? [];
      table.routesByPath.set(route.path, [...routes, route]);
    }
    return table;
  }

  match(method: string, path: string): Route | undefined {
    const exactMatch = this.findByPath(path, method);
    if (exactMatch) return exactMatch;
    let end = path.length;
    while ((end = path.lastIndexOf('/', end - 1)) >= 0) {
      const prefixMatch = this.findByPath(`${path.slice(0, end)}/*`, method);
      if (prefixMatch) return prefixMatch;
      if (end === 0) return undefined;
    }
    return undefined;
  }

  private findByPath(path: string, method: string): Route | undefined {
    const routes = this.routesByPath.get(path);
    return routes?.find(route =>
      route.methods.some(allowed => allowed === method),
    );
  }
}
