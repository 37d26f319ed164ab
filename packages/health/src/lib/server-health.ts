/** The state that an instance keeps for one backend server of a service. */
import type {BackendServer} from '@fireflytrack/configuration';
import {EvidencePool} from './evidence-pool.js';
import type {ReportedState} from './evidence-frame.js';
import {PathHealth} from './path-health.js';
import {zeroPeriodCounts} from './period-counts.js';
import type {PeriodCounts} from './period-counts.js';
import type {ProbeResult} from './probe.js';
import {rampWeight} from './ramp.js';
import type {Ramp} from './ramp.js';

/**
 * `ejected`: unhealthy by pooled evidence. `avoided`: not used by this instance
 * for a while, because of faults that only this instance observed. `draining`:
 * the server or peers reported that it drains.
 */
export type Phase = 'in-rotation' | 'ejected' | 'avoided' | 'draining';

/**
 * A request of this instance that is waiting for the response of the server.
 */
export interface InFlightRequest {
  startedAtMs: number;
  /** Already counted as overdue; its response is not sampled again. */
  countedOverdue: boolean;
  countedVerySlow: boolean;
}

export class ServerHealth {
  phase: Phase = 'in-rotation';
  ramp: Ramp | undefined;
  /** Whether the server itself reported to this instance that it drains. */
  drainObservedLocally = false;
  /** Severity of the evidence for which it was withdrawn; larger is worse. */
  severity = 0;
  ejections = 0;
  lastEjectedAtMs = -Infinity;
  /** Earliest time of a readmission probe. */
  readmitAtMs = 0;
  probing = false;
  /** When this instance last probed the server to verify a peer's report. */
  drainProbedAtMs = -Infinity;
  /** Result of the last probe, until the next period applies it. */
  probeResult: ProbeResult | undefined;
  /** Requests that peers reported to have in flight to the server. */
  peerOutstanding = 0;
  counts: PeriodCounts = zeroPeriodCounts();
  readonly inFlight = new Set<InFlightRequest>();
  readonly pool = EvidencePool.create();
  readonly path = PathHealth.create();

  private constructor(
    readonly server: BackendServer,
    readonly slots: number,
  ) {}

  static create(server: BackendServer, slots: number): ServerHealth {
    return new ServerHealth(server, slots);
  }

  get serverId(): string {
    return this.server.serverId;
  }

  weight(nowMs: number): number {
    return rampWeight(this.ramp, nowMs);
  }

  /** Slots times ramp weight in rotation, otherwise 0. */
  capacitySlots(nowMs: number): number {
    return this.phase === 'in-rotation' ? this.slots * this.weight(nowMs) : 0;
  }

  needsReadmission(): boolean {
    return this.phase === 'ejected' || this.phase === 'draining';
  }

  reportedState(): ReportedState {
    if (this.phase === 'ejected') return 'ejected';
    if (this.phase === 'draining') {
      return this.drainObservedLocally ? 'draining' : 'held-out';
    }
    return this.ramp?.kind === 'readmitted' ? 'readmitted' : 'in-rotation';
  }
}
