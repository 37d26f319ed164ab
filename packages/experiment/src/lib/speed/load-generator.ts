/** Generates load on one forwarder, in a closed or an open loop. */
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Pool} from 'undici';
import type {Dispatcher} from 'undici';
import {z} from 'zod';

export const loadSchema = z.object({
  url: z.string(),
  key: z.string(),
  /**
   * Concurrent callers of a closed loop, which wait for each response before
   * their next request; 0 for an open loop.
   */
  callers: z.number().int().nonnegative(),
  /** Open loop only: requests per second, evenly spaced. */
  ratePerSecond: z.number().nonnegative(),
  durationMs: z.number().positive(),
  /** Time before `durationMs` that opens connections and is not measured. */
  warmUpMs: z.number().nonnegative(),
});
export type LoadOptions = z.infer<typeof loadSchema>;

export const loadResultSchema = z.object({
  requestsPerSecond: z.number(),
  p50Ms: z.number(),
  p99Ms: z.number(),
  errors: z.number(),
  /** Cores used by the generator; near 1, the generator was the bottleneck. */
  generatorCores: z.number(),
});
export type LoadResult = z.infer<typeof loadResultSchema>;

const REQUEST_PATH = '/readings/1';
const OPEN_LOOP_CONNECTIONS = 128;
const MICROSECONDS_PER_MS = 1000;

export class LoadGenerator {
  private readonly latenciesUs: Histogram = build({
    numberOfSignificantValueDigits: 3,
  });
  private readonly pool: Pool;
  private errors = 0;
  private inFlight = 0;
  private measureFromMs = 0;

  private constructor(private readonly options: LoadOptions) {
    const connections = options.callers || OPEN_LOOP_CONNECTIONS;
    this.pool = new Pool(options.url, {connections, pipelining: 1});
  }

  static async run(options: LoadOptions): Promise<LoadResult> {
    return new LoadGenerator(options).run();
  }

  private async run(): Promise<LoadResult> {
    const {callers, durationMs, warmUpMs} = this.options;
    const startedAtMs = performance.now();
    this.measureFromMs = startedAtMs + warmUpMs;
    const endAtMs = this.measureFromMs + durationMs;
    const cpu = process.cpuUsage();
    if (callers > 0) await this.runClosed(callers, endAtMs);
    else await this.runOpen(startedAtMs, endAtMs);
    const {user, system} = process.cpuUsage(cpu);
    const elapsedMs = performance.now() - startedAtMs;
    await this.pool.destroy();
    return {
      requestsPerSecond: (this.latenciesUs.totalCount / durationMs) * 1000,
      p50Ms: this.percentileMs(50),
      p99Ms: this.percentileMs(99),
      errors: this.errors,
      generatorCores: (user + system) / MICROSECONDS_PER_MS / elapsedMs,
    };
  }

  private async runClosed(callers: number, endAtMs: number): Promise<void> {
    const caller = async () => {
      while (performance.now() < endAtMs) await this.send(performance.now());
    };
    await Promise.all(Array.from({length: callers}, caller));
  }

  /**
   * Latency counts from the planned send time, so that stalls of the generator
   * or the forwarder are not hidden (coordinated omission).
   */
  private async runOpen(startedAtMs: number, endAtMs: number): Promise<void> {
    const gapMs = 1000 / this.options.ratePerSecond;
    let plannedAtMs = startedAtMs;
    while (plannedAtMs < endAtMs) {
      const nowMs = performance.now();
      for (; plannedAtMs <= nowMs; plannedAtMs += gapMs) {
        void this.send(plannedAtMs);
      }
      await new Promise<void>(resolve => setImmediate(resolve));
    }
    while (this.inFlight > 0) {
      await new Promise(resolve => setTimeout(resolve, 1));
    }
  }

  private send(plannedAtMs: number): Promise<void> {
    this.inFlight += 1;
    return new Promise(resolve => {
      const onEnd = (failed: boolean) => {
        this.inFlight -= 1;
        if (failed) this.errors += 1;
        else this.record(plannedAtMs);
        resolve();
      };
      const headers = {authorization: `Bearer ${this.options.key}`};
      const handler = createResponseHandler(onEnd);
      this.pool.dispatch({method: 'GET', path: REQUEST_PATH, headers}, handler);
    });
  }

  private record(plannedAtMs: number): void {
    if (plannedAtMs < this.measureFromMs) return;
    const latencyMs = performance.now() - plannedAtMs;
    this.latenciesUs.recordValue(Math.round(latencyMs * MICROSECONDS_PER_MS));
  }

  private percentileMs(percentile: number): number {
    const us = this.latenciesUs.getValueAtPercentile(percentile);
    return us / MICROSECONDS_PER_MS;
  }
}

function createResponseHandler(
  onEnd: (failed: boolean) => void,
): Dispatcher.DispatchHandler {
  let status = 0;
  return {
    onRequestStart: () => undefined,
    onResponseStart: (_controller, statusCode) => {
      status = statusCode;
    },
    onResponseData: () => undefined,
    onResponseEnd: () => onEnd(status !== 200),
    onResponseError: () => onEnd(true),
  };
}
