/**
 * The servers of a service that get ordinary traffic from this instance, and
 * the capacity floor (P1).
 *
 * A server is withdrawn only if the others in rotation still meet the floor.
 * When draining servers take the capacity below the floor, the withdrawn
 * servers with the least severe evidence return at full weight.
 */
import {delayDrainCheck, delayReadmission} from './readmission.js';
import type {Phase, ServerHealth} from './server-health.js';

export interface HealthTransition {
  serviceName: string;
  serverId: string;
  from: Phase;
  to: Phase;
  reason:
    | 'faults'
    | 'latency'
    | 'told-by-peers'
    | 'path'
    | 'draining'
    | 'path-retry'
    | 'probe'
    | 'floor';
}

export interface RotationOptions {
  serviceName: string;
  /** Fraction of all slots that must stay in rotation at a withdrawal. */
  capacityFloor: number;
  servers: readonly ServerHealth[];
  onTransition(transition: HealthTransition): void;
}

// Sums of ramp weights are subject to rounding.
const ROUNDING_TOLERANCE_SLOTS = 1e-6;

export class Rotation {
  private inRotation: ServerHealth[] = [];

  private constructor(private readonly options: RotationOptions) {
    this.refresh();
  }

  static create(options: RotationOptions): Rotation {
    const rotation = new Rotation(options);
    rotation.restoreFloor();
    return rotation;
  }

  /** Servers that get ordinary traffic. */
  usable(): readonly ServerHealth[] {
    return this.inRotation;
  }

  capacitySlots(): number {
    const nowMs = performance.now();
    let sum = 0;
    for (const server of this.inRotation) sum += server.capacitySlots(nowMs);
    return sum;
  }

  /** Returns false, without effect, if the floor does not allow it. */
  eject(
    server: ServerHealth,
    severity: number,
    reason: HealthTransition['reason'],
  ): boolean {
    if (!this.canWithdraw(server)) return false;
    server.severity = severity;
    delayReadmission(server);
    this.changePhase(server, 'ejected', reason);
    return true;
  }

  avoid(server: ServerHealth): boolean {
    if (server.phase !== 'in-rotation' || !this.canWithdraw(server)) {
      return false;
    }
    server.severity = 0;
    server.path.startAvoidance();
    this.changePhase(server, 'avoided', 'path');
    return true;
  }

  /**
   * The server itself reported that it drains; its slots are lost in any case.
   */
  drain(server: ServerHealth): void {
    delayDrainCheck(server);
    server.drainObservedLocally = true;
    if (server.phase === 'draining') return;
    this.changePhase(server, 'draining', 'draining');
    this.restoreFloor();
  }

  /**
   * Peers reported that it drains; limited by the floor, as peers may be wrong.
   */
  holdOut(server: ServerHealth): boolean {
    if (server.phase === 'draining') return false;
    if (!this.canWithdraw(server)) return false;
    delayDrainCheck(server);
    server.drainObservedLocally = false;
    this.changePhase(server, 'draining', 'told-by-peers');
    return true;
  }

  readmit(server: ServerHealth, kind: 'new' | 'readmitted'): void {
    server.ramp = {kind, startedAtMs: performance.now()};
    this.returnToRotation(server, 'probe');
  }

  endAvoidance(server: ServerHealth): void {
    if (server.phase === 'avoided') {
      this.changePhase(server, 'in-rotation', 'path-retry');
    }
  }

  private canWithdraw(server: ServerHealth): boolean {
    const remainingSlots =
      this.capacitySlots() - server.capacitySlots(performance.now());
    return remainingSlots >= this.floorSlots() - ROUNDING_TOLERANCE_SLOTS;
  }

  private floorSlots(): number {
    let totalSlots = 0;
    for (const server of this.options.servers) totalSlots += server.slots;
    return this.options.capacityFloor * totalSlots;
  }

  private restoreFloor(): void {
    const floorSlots = this.floorSlots() - ROUNDING_TOLERANCE_SLOTS;
    while (this.capacitySlots() < floorSlots) {
      const leastSevere = this.options.servers
        .filter(
          server => server.phase === 'ejected' || server.phase === 'avoided',
        )
        .sort((a, b) => a.severity - b.severity)[0];
      if (!leastSevere) return;
      leastSevere.ramp = undefined;
      this.returnToRotation(leastSevere, 'floor');
    }
  }

  private returnToRotation(
    server: ServerHealth,
    reason: HealthTransition['reason'],
  ): void {
    server.drainObservedLocally = false;
    server.probeResult = undefined;
    server.pool.clear();
    server.path.reset();
    this.changePhase(server, 'in-rotation', reason);
  }

  private changePhase(
    server: ServerHealth,
    to: Phase,
    reason: HealthTransition['reason'],
  ): void {
    const {phase: from, serverId} = server;
    server.phase = to;
    if (to !== 'in-rotation') server.ramp = undefined;
    this.refresh();
    const {serviceName, onTransition} = this.options;
    onTransition({serviceName, serverId, from, to, reason});
  }

  private refresh(): void {
    this.inRotation = this.options.servers.filter(
      server => server.phase === 'in-rotation',
    );
  }
}
