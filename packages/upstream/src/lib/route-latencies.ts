/**
 * How long the requests of each route take. A request may miss its deadline since
 * its route always does, or since its caller left little time; then the server is
 * not to blame.
 */

// Weight of one response in the typical latency of its route.
const SAMPLE_WEIGHT = 0.2;
const MEMORY_MS = 60_000;
// A server that took this multiple of the typical latency is slow or hangs.
const MISS_FACTOR = 2;
// Routes whose last response is the oldest are forgotten beyond this number.
const MAX_ROUTES = 1024;

export type MissCause =
  /** Responses of the route normally take far less. */
  | 'server'
  /** The caller's deadline was too short to tell. */
  | 'deadline'
  /** The route had no response here lately. */
  | 'unknown';

interface RouteLatency {
  typicalMs: number;
  answeredAtMs: number;
}

export class RouteLatencies {
  private readonly routes = new Map<string, RouteLatency>();

  private constructor() {}

  static create(): RouteLatencies {
    return new RouteLatencies();
  }

  /** Records a successful response of a route. */
  recordResponse(route: string, latencyMs: number): void {
    const answeredAtMs = performance.now();
    const typicalMs = this.routes.get(route)?.typicalMs ?? latencyMs;
    // The map is in the order of the last responses.
    this.routes.delete(route);
    this.routes.set(route, {
      typicalMs: typicalMs + (latencyMs - typicalMs) * SAMPLE_WEIGHT,
      answeredAtMs,
    });
    if (this.routes.size <= MAX_ROUTES) return;
    const [oldest] = this.routes.keys();
    this.routes.delete(oldest!);
  }

  /** Tells why a request of the route got no response within `waitedMs`. */
  findMissCause(route: string, waitedMs: number): MissCause {
    const known = this.routes.get(route);
    if (!known || performance.now() - known.answeredAtMs > MEMORY_MS) {
      return 'unknown';
    }
    return waitedMs >= known.typicalMs * MISS_FACTOR ? 'server' : 'deadline';
  }
}
