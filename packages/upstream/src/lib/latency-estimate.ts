/**
 * An exponential moving average of latencies. Without samples it decays to a
 * baseline, so that a server that was slow once is eventually tried again.
 */

// Time constant of the decay to the baseline. Slow phases of servers last several
// seconds; a shorter time would send requests back during such a phase.
const DECAY_TIME_MS = 8000;
const SAMPLE_WEIGHT = 0.15;

export class LatencyEstimate {
  private valueMs: number | undefined;
  private sampledAtMs = 0;

  static create(): LatencyEstimate {
    return new LatencyEstimate();
  }

  add(latencyMs: number, baselineMs: number): void {
    const currentMs = this.read(baselineMs);
    this.valueMs = currentMs + (latencyMs - currentMs) * SAMPLE_WEIGHT;
    this.sampledAtMs = performance.now();
  }

  /** The estimate in milliseconds; `baselineMs` before the first sample. */
  read(baselineMs: number): number {
    if (this.valueMs === undefined) return baselineMs;
    const ageMs = performance.now() - this.sampledAtMs;
    const weight = Math.exp(-ageMs / DECAY_TIME_MS);
    return baselineMs + (this.valueMs - baselineMs) * weight;
  }
}
