/**
 * Finds the route of a request. Exact paths go before prefixes, and longer
 * prefixes before shorter ones; the cost grows with the path's depth only.
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
    const exact = this.find(path, method);
    if (exact) return exact;
    let end = path.length;
    while ((end = path.lastIndexOf('/', end - 1)) >= 0) {
      const prefixed = this.find(`${path.slice(0, end)}/*`, method);
      if (prefixed) return prefixed;
      if (end === 0) return undefined;
    }
    return undefined;
  }

  private find(path: string, method: string): Route | undefined {
    const routes = this.routesByPath.get(path);
    return routes?.find(route => route.methods.some(one => one === method));
  }
}
