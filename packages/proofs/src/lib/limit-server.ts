/** A simulated backend server that names limits in its responses. */

/** From `fromMs` on, the server names `requestsPerSecond`, or nothing. */
export interface LimitPhase {
  fromMs: number;
  requestsPerSecond: number | undefined;
}

export interface LimitArrival {
  atMs: number;
  instanceId: string;
}

export interface SimulatedResponse {
  /** A rejection doesn't name the limit although it holds. */
  rejected: boolean;
  namedLimit: number | undefined;
}

export class LimitServer {
  readonly arrivals: LimitArrival[] = [];
  /**
   * The phases as instances can know them: a limit begins with the first response
   * that names it.
   */
  readonly namedPhases: LimitPhase[] = [];

  private constructor(
    readonly serverId: string,
    readonly availabilityZone: string,
    readonly phases: readonly LimitPhase[],
    private readonly rejects: () => boolean,
  ) {}

  static create(
    serverId: string,
    availabilityZone: string,
    phases: readonly LimitPhase[],
    rejects: () => boolean,
  ): LimitServer {
    return new LimitServer(serverId, availabilityZone, phases, rejects);
  }

  receive(instanceId: string): void {
    this.arrivals.push({atMs: performance.now(), instanceId});
  }

  respond(): SimulatedResponse {
    const rejected = this.rejects();
    const nowMs = performance.now();
    const requestsPerSecond = findLimit(this.phases, nowMs);
    if (rejected) return {rejected, namedLimit: undefined};
    if (this.namedPhases.at(-1)?.requestsPerSecond !== requestsPerSecond) {
      this.namedPhases.push({fromMs: nowMs, requestsPerSecond});
    }
    return {rejected, namedLimit: requestsPerSecond};
  }
}

/** The limit that holds at a time, if there is one. */
export function findLimit(
  phases: readonly LimitPhase[],
  atMs: number,
): number | undefined {
  return phases.filter(({fromMs}) => fromMs <= atMs).at(-1)?.requestsPerSecond;
}
