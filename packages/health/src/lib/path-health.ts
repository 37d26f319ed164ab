/**
 * Observations of one server by this instance alone: expected latency for balancing,
 * and faults that trigger local avoidance.
 */
import {faultEvidence} from './fault-test.js';

export type PathSignal = 'ok' | 'fault';

const SMOOTHING = 0.2;
// A server that fails every request counts as this many times slower, so that
// fast failures do not attract traffic.
const FAULT_PENALTY = 10;
// Without new responses the expected latency moves towards the typical one by
// this fraction a period, so that one slow response does not keep a server idle.
const IDLE_RETURN = 0.02;
const FAULT_STEP = faultEvidence({successes: 0, faults: 1, failedChecks: 0});
const SUCCESS_STEP = faultEvidence({successes: 1, faults: 0, failedChecks: 0});
// Three faults in a row, or more with successes between them.
const AVOID_THRESHOLD = 3 * FAULT_STEP;
const FIRST_AVOIDANCE_MS = 2000;
const LONGEST_AVOIDANCE_MS = 30_000;

export class PathHealth {
  private latencyMs: number | undefined;
  /** Smoothed share of faults and refusals. */
  private faultRate = 0;
  /** Cumulative evidence of faults, never below 0. */
  private evidence = 0;
  private avoidances = 0;
  avoidedUntilMs = 0;
  private usedInPeriod = false;

  static create(): PathHealth {
    return new PathHealth();
  }

  record(signal: PathSignal): void {
    const fault = signal === 'fault';
    this.usedInPeriod = true;
    this.faultRate += SMOOTHING * ((fault ? 1 : 0) - this.faultRate);
    const step = fault ? FAULT_STEP : SUCCESS_STEP;
    this.evidence = Math.max(0, this.evidence + step);
    if (this.evidence === 0) this.avoidances = 0;
  }

  /** Shedding is no fault, but a fast refusal must not attract traffic. */
  recordShed(): void {
    this.usedInPeriod = true;
    this.faultRate += SMOOTHING * (1 - this.faultRate);
  }

  recordLatency(latencyMs: number): void {
    this.latencyMs ??= latencyMs;
    this.latencyMs += SMOOTHING * (latencyMs - this.latencyMs);
  }

  /** Expected latency, raised by faults; `usualMs` before the first response. */
  expectedLatencyMs(usualMs: number): number {
    return (this.latencyMs ?? usualMs) * (1 + FAULT_PENALTY * this.faultRate);
  }

  isSuspect(): boolean {
    return this.evidence >= AVOID_THRESHOLD / 2;
  }

  shouldAvoid(): boolean {
    return this.evidence >= AVOID_THRESHOLD;
  }

  beginAvoidance(): void {
    const lengthMs = FIRST_AVOIDANCE_MS * 2 ** this.avoidances;
    this.avoidances += 1;
    this.avoidedUntilMs =
      performance.now() + Math.min(lengthMs, LONGEST_AVOIDANCE_MS);
    // After the avoidance one more fault is enough for the next one.
    this.evidence = AVOID_THRESHOLD - FAULT_STEP;
  }

  closePeriod(usualMs: number | undefined): void {
    if (!this.usedInPeriod) {
      this.faultRate *= 1 - IDLE_RETURN;
      if (this.latencyMs !== undefined && usualMs !== undefined) {
        this.latencyMs += IDLE_RETURN * (usualMs - this.latencyMs);
      }
    }
    this.usedInPeriod = false;
  }

  forget(): void {
    this.latencyMs = undefined;
    this.faultRate = 0;
    this.evidence = 0;
  }
}
