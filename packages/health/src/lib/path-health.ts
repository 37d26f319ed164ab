/**
 * What this instance alone observed of one server: the expected latency, for
 * load balancing, and the faults that trigger local avoidance.
 */
import {faultEvidence} from './fault-test.js';

export type PathSignal = 'ok' | 'fault';

const SMOOTHING = 0.2;
// Factor by which failures of all requests raise the expected latency, so that
// fast failures do not attract traffic.
const FAULT_PENALTY = 10;
// Without new responses, the expected latency approaches the typical one by
// this fraction per period, so that one slow response does not keep a server
// idle.
const IDLE_DECAY = 0.02;
const FAULT_STEP = faultEvidence({successes: 0, faults: 1, failedChecks: 0});
const SUCCESS_STEP = faultEvidence({successes: 1, faults: 0, failedChecks: 0});
// Reached by three consecutive faults, or by more with successes in between.
const AVOID_THRESHOLD = 3 * FAULT_STEP;
const MIN_AVOIDANCE_MS = 2000;
const MAX_AVOIDANCE_MS = 30_000;

export class PathHealth {
  private latencyMs: number | undefined;
  /** Smoothed share of faults and refusals. */
  private faultRate = 0;
  /** Accumulated log likelihood ratio of faults, never below 0. */
  private evidence = 0;
  private avoidances = 0;
  avoidedUntilMs = 0;
  private usedThisPeriod = false;

  static create(): PathHealth {
    return new PathHealth();
  }

  record(signal: PathSignal): void {
    const fault = signal === 'fault';
    this.usedThisPeriod = true;
    this.faultRate += SMOOTHING * ((fault ? 1 : 0) - this.faultRate);
    const step = fault ? FAULT_STEP : SUCCESS_STEP;
    this.evidence = Math.max(0, this.evidence + step);
    if (this.evidence === 0) this.avoidances = 0;
  }

  /**
   * Load shedding is not a fault, but fast refusals must not attract traffic.
   */
  recordShed(): void {
    this.usedThisPeriod = true;
    this.faultRate += SMOOTHING * (1 - this.faultRate);
  }

  recordLatency(latencyMs: number): void {
    this.latencyMs ??= latencyMs;
    this.latencyMs += SMOOTHING * (latencyMs - this.latencyMs);
  }

  /** Expected latency, raised by faults; `typicalMs` if nothing is measured yet. */
  expectedLatencyMs(typicalMs: number): number {
    return (this.latencyMs ?? typicalMs) * (1 + FAULT_PENALTY * this.faultRate);
  }

  isSuspect(): boolean {
    return this.evidence >= AVOID_THRESHOLD / 2;
  }

  shouldAvoid(): boolean {
    return this.evidence >= AVOID_THRESHOLD;
  }

  startAvoidance(): void {
    const durationMs = MIN_AVOIDANCE_MS * 2 ** this.avoidances;
    this.avoidances += 1;
    this.avoidedUntilMs =
      performance.now() + Math.min(durationMs, MAX_AVOIDANCE_MS);
    // After the avoidance, a single fault starts the next one.
    this.evidence = AVOID_THRESHOLD - FAULT_STEP;
  }

  closePeriod(typicalMs: number | undefined): void {
    if (!this.usedThisPeriod) {
      this.faultRate *= 1 - IDLE_DECAY;
      if (this.latencyMs !== undefined && typicalMs !== undefined) {
        this.latencyMs += IDLE_DECAY * (typicalMs - this.latencyMs);
      }
    }
    this.usedThisPeriod = false;
  }

  reset(): void {
    this.latencyMs = undefined;
    this.faultRate = 0;
    this.evidence = 0;
  }
}
