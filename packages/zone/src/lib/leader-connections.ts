/**
 * Connections of an instance to the leaders of other zones. They are opened when
 * they are needed and closed when they are idle, because open ones cause traffic.
 */
import type {PeerDialer, PeerNetwork} from '@fireflytrack/wire';
import {sleep} from '@fireflytrack/time';
import type {Leader} from './leader-row.js';

const CONNECT_POLL_MS = 10;
const IDLE_TIMEOUT_MS = 4000;
// A leader that was not reached counts as unreached for this long.
const UNREACHED_MS = 5000;

export class LeaderConnections {
  /** When each connection to another zone was last used. */
  private readonly lastUsedAtMs = new Map<string, number>();
  private readonly unreachedUntilMs = new Map<string, number>();

  private constructor(
    private readonly network: PeerNetwork & PeerDialer,
    private readonly availabilityZone: string,
  ) {}

  /** `availabilityZone` is that of the instance itself. */
  static create(
    network: PeerNetwork & PeerDialer,
    availabilityZone: string,
  ): LeaderConnections {
    return new LeaderConnections(network, availabilityZone);
  }

  /** Connects to a leader; returns whether it succeeded within `waitMs`. */
  async connect(leader: Leader, waitMs: number): Promise<boolean> {
    const {instanceId} = leader;
    if (leader.availabilityZone !== this.availabilityZone) {
      this.lastUsedAtMs.set(instanceId, performance.now());
    }
    if (this.isConnected(instanceId)) return true;
    this.network.connectTo(leader);
    const deadlineAtMs = performance.now() + waitMs;
    while (performance.now() < deadlineAtMs) {
      await sleep(CONNECT_POLL_MS);
      if (this.isConnected(instanceId)) return true;
    }
    this.unreachedUntilMs.set(instanceId, performance.now() + UNREACHED_MS);
    return false;
  }

  isConnected(instanceId: string): boolean {
    return this.network.peers().some(peer => peer.instanceId === instanceId);
  }

  /** Whether a leader could not be reached a short time ago. */
  isUnreached(instanceId: string): boolean {
    return performance.now() < (this.unreachedUntilMs.get(instanceId) ?? 0);
  }

  /** Closes idle connections to other zones. */
  closeIdle(): void {
    const nowMs = performance.now();
    for (const [instanceId, usedAtMs] of this.lastUsedAtMs) {
      if (nowMs - usedAtMs < IDLE_TIMEOUT_MS) continue;
      this.lastUsedAtMs.delete(instanceId);
      this.network.disconnect(instanceId);
    }
    for (const [instanceId, untilMs] of this.unreachedUntilMs) {
      if (nowMs >= untilMs) this.unreachedUntilMs.delete(instanceId);
    }
  }
}
