/**
 * Which servers of a service get ordinary traffic here, and the floor (P1).
 *
 * A server is withdrawn only if the others in rotation keep the floor at that
 * moment. When draining servers take the rest below the floor, the least-bad
 * withdrawn ones return at full weight.
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
  /** Least fraction of all slots that withdrawing leaves in rotation. */
  capacityFloor: number;
  servers: readonly ServerHealth[];
  onTransition(transition: HealthTransition): void;
}

// Sums of ramp weights are not exact.
const ROUNDING_SLOTS = 1e-6;

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

  eject(
    server: ServerHealth,
    badness: number,
    reason: HealthTransition['reason'],
  ): boolean {
    if (!this.canWithdraw(server)) return false;
    server.severity = badness;
    delayReadmission(server);
    this.move(server, 'ejected', reason);
    return true;
  }

  avoid(server: ServerHealth): boolean {
    if (server.phase !== 'in-rotation' || !this.canWithdraw(server)) {
      return false;
    }
    server.severity = 0;
    server.path.beginAvoidance();
    this.move(server, 'avoided', 'path');
    return true;
  }

  /** The server told this instance that it drains; its slots are lost in any case. */
  drain(server: ServerHealth): void {
    delayDrainCheck(server);
    server.drainObservedLocally = true;
    if (server.phase === 'draining') return;
    this.move(server, 'draining', 'draining');
    this.restoreFloor();
  }

  /** Peers report that it drains; bounded by the floor, as peers may be wrong. */
  holdOut(server: ServerHealth): boolean {
    if (server.phase === 'draining') return false;
    if (!this.canWithdraw(server)) return false;
    delayDrainCheck(server);
    server.drainObservedLocally = false;
    this.move(server, 'draining', 'told-by-peers');
    return true;
  }

  readmit(server: ServerHealth, kind: 'new' | 'readmitted'): void {
    server.ramp = {kind, startedAtMs: performance.now()};
    this.returnToRotation(server, 'probe');
  }

  endAvoidance(server: ServerHealth): void {
    if (server.phase === 'avoided') {
      this.move(server, 'in-rotation', 'path-retry');
    }
  }

  private canWithdraw(server: ServerHealth): boolean {
    const rest = this.capacitySlots() - server.capacitySlots(performance.now());
    return rest >= this.floorSlots() - ROUNDING_SLOTS;
  }

  private floorSlots(): number {
    let totalSlots = 0;
    for (const server of this.options.servers) totalSlots += server.slots;
    return this.options.capacityFloor * totalSlots;
  }

  private restoreFloor(): void {
    const floorSlots = this.floorSlots() - ROUNDING_SLOTS;
    while (this.capacitySlots() < floorSlots) {
      const leastBad = this.options.servers
        .filter(one => one.phase === 'ejected' || one.phase === 'avoided')
        .sort((a, b) => a.severity - b.severity)[0];
      if (!leastBad) return;
      leastBad.ramp = undefined;
      this.returnToRotation(leastBad, 'floor');
    }
  }

  private returnToRotation(
    server: ServerHealth,
    reason: HealthTransition['reason'],
  ): void {
    server.drainObservedLocally = false;
    server.probeResult = undefined;
    server.pool.clear();
    server.path.forget();
    this.move(server, 'in-rotation', reason);
  }

  private move(
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
