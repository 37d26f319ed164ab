/** A membership whose members tests set directly. */
import type {PeerIdentity} from '@fireflytrack/wire';
import type {Member, Membership} from './membership.js';

export class FixedMembership implements Membership {
  /** Tests modify these directly. */
  readonly members = new Map<string, Member>();
  readonly gone = new Set<string>();

  private constructor(readonly self: PeerIdentity) {}

  static create(
    self: PeerIdentity,
    others: readonly PeerIdentity[],
  ): FixedMembership {
    const membership = new FixedMembership(self);
    for (const identity of others) {
      if (identity.instanceId === self.instanceId) continue;
      const member = {identity, listed: true, reachable: true, leaving: false};
      membership.members.set(identity.instanceId, member);
    }
    return membership;
  }

  others(): readonly Member[] {
    return [...this.members.values()];
  }

  liveIds(): readonly string[] {
    const live = this.others().filter(
      member => member.reachable && !member.leaving,
    );
    return [
      this.self.instanceId,
      ...live.map(member => member.identity.instanceId),
    ];
  }

  hasEnded(instanceId: string): boolean {
    return this.gone.has(instanceId);
  }
}
