/**
 * A moving average of latencies that returns to a baseline when no samples
 * come, so that a server which was slow once is tried again.
 */

// Time constant of the return to the baseline. Slow phases of servers last
// several seconds; a shorter memory would send work back during one.
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

  read(baselineMs: number): number {
    if (this.valueMs === undefined) return baselineMs;
    const ageMs = performance.now() - this.sampledAtMs;
    const kept = Math.exp(-ageMs / DECAY_TIME_MS);
    return baselineMs + (this.valueMs - baselineMs) * kept;
  }
}
