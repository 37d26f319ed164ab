/**
 * Metrics sent to StatsD over UDP with hot-shots, or disabled.
 *
 * Names and units are listed in docs/OPERATIONS.md.
 */
import {StatsD} from 'hot-shots';

export type MetricTags = Record<string, string>;

export interface Metrics {
  /** Adds `value` (default 1) to a counter. */
  count(name: string, tags?: MetricTags, value?: number): void;
  /** Sets a gauge. */
  gauge(name: string, value: number, tags?: MetricTags): void;
  /** Records a duration in milliseconds. */
  timing(name: string, durationMs: number, tags?: MetricTags): void;
  close(): Promise<void>;
}

export interface StatsdOptions {
  host: string;
  port: number;
  /** Tags added to every metric, such as the instance id. */
  tags: MetricTags;
  /** Called when a datagram cannot be sent; the process continues. */
  onError(error: Error): void;
}

// Several metrics are batched into datagrams of up to this size; 1,432 bytes fit
// an Ethernet frame without fragmentation.
const DATAGRAM_BYTES = 1432;

export class StatsdMetrics implements Metrics {
  private constructor(private readonly client: StatsD) {}

  static create(options: StatsdOptions): StatsdMetrics {
    const client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'fireflytrack.',
      globalTags: options.tags,
      maxBufferSize: DATAGRAM_BYTES,
      errorHandler: options.onError,
    });
    return new StatsdMetrics(client);
  }

  count(name: string, tags: MetricTags = {}, value = 1): void {
    this.client.increment(name, value, tags);
  }

  gauge(name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, tags);
  }

  timing(name: string, durationMs: number, tags: MetricTags = {}): void {
    this.client.timing(name, durationMs, tags);
  }

  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}

export class DisabledMetrics implements Metrics {
  static create(): DisabledMetrics {
    return new DisabledMetrics();
  }

  count(): void {}
  gauge(): void {}
  timing(): void {}

  async close(): Promise<void> {}
}
