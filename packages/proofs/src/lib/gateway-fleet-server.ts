/** A simulated backend server that fails requests by itself in phases. */
import type {Random} from './health-random.js';

interface FailurePhase {
  fromMs: number;
  untilMs: number;
  /** Share of the requests that fail at once. */
  failShare: number;
}

export class SimulatedServer {
  private readonly arrivalsMs: number[] = [];
  private readonly failuresMs: number[] = [];
  private readonly phases: FailurePhase[] = [];

  private constructor(
    readonly serverId: string,
    readonly availabilityZone: string,
    private readonly random: Random,
  ) {}

  static create(
    serverId: string,
    availabilityZone: string,
    random: Random,
  ): SimulatedServer {
    return new SimulatedServer(serverId, availabilityZone, random);
  }

  addFailurePhase(phase: FailurePhase): void {
    this.phases.push(phase);
  }

  /** Receives a request now; returns whether it succeeds. */
  receive(): boolean {
    const nowMs = performance.now();
    this.arrivalsMs.push(nowMs);
    const fails = this.phases.some(
      ({fromMs, untilMs, failShare}) =>
        nowMs >= fromMs && nowMs < untilMs && this.random() < failShare,
    );
    if (fails) this.failuresMs.push(nowMs);
    return !fails;
  }

  receivedBetween(fromMs: number, untilMs: number): boolean {
    return this.arrivalsMs.some(atMs => atMs >= fromMs && atMs < untilMs);
  }

  failedBetween(fromMs: number, untilMs: number): boolean {
    return this.failuresMs.some(atMs => atMs >= fromMs && atMs < untilMs);
  }
}
