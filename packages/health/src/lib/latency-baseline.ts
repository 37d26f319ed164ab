/**
 * Median latencies of the servers of a service, as measured by this instance.
 *
 * A server is compared with the others in its region, because the network path
 * to another region may be slow although the servers there are healthy.
 */

interface Sample {
  atMs: number;
  latencyMs: number;
}

const SAMPLES_PER_SERVER = 8;
const SAMPLE_LIFETIME_MS = 4000;
// The median of fewer samples varies enough to make a cold server look slow.
const MIN_SAMPLES = 5;

export class LatencyBaseline {
  private readonly samples = new Map<string, Sample[]>();

  static create(): LatencyBaseline {
    return new LatencyBaseline();
  }

  record(serverId: string, latencyMs: number): void {
    let samples = this.samples.get(serverId);
    if (!samples) this.samples.set(serverId, (samples = []));
    if (samples.length >= SAMPLES_PER_SERVER) samples.shift();
    samples.push({atMs: performance.now(), latencyMs});
  }

  /** Median over all samples of the servers; undefined with too few recent ones. */
  medianMs(serverIds: readonly string[]): number | undefined {
    const oldestMs = performance.now() - SAMPLE_LIFETIME_MS;
    const latencies: number[] = [];
    for (const id of serverIds) {
      for (const sample of this.samples.get(id) ?? []) {
        if (sample.atMs >= oldestMs) latencies.push(sample.latencyMs);
      }
    }
    if (latencies.length < MIN_SAMPLES) return undefined;
    latencies.sort((a, b) => a - b);
    return latencies[latencies.length >> 1];
  }
}
