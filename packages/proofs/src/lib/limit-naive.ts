/** A naive fleet: each instance keeps the limits of servers by itself. */
import type {GrantDecision, LimitGrants} from '@fireflytrack/upstream';

/** Lets its instance use the whole limit of each server. */
export class LoneGrants implements LimitGrants {
  private readonly grantedAtMs = new Map<string, number>();

  async requestGrant({
    candidates,
  }: Parameters<LimitGrants['requestGrant']>[0]): Promise<GrantDecision> {
    const nowMs = performance.now();
    for (const {serverId, requestsPerSecond} of candidates) {
      const lastMs = this.grantedAtMs.get(serverId) ?? -Infinity;
      if (nowMs - lastMs < 1000 / requestsPerSecond) continue;
      this.grantedAtMs.set(serverId, nowMs);
      return {kind: 'granted', serverId};
    }
    return {kind: 'at-limit', retryAfterMs: 100};
  }

  announce(): void {}
}
