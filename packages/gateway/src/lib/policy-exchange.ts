/**
 * Gives an instance the newest policy that its zone leader knows.
 *
 * A store that returned from an older copy lacks the last policies until
 * operators write them again. An instance that starts in that time would know
 * nothing newer than the copy, and accept keys that have been withdrawn since.
 */
import {trafficPolicySchema} from '@fireflytrack/policy';
import type {TrafficPolicy} from '@fireflytrack/policy';
import type {Logger} from '@fireflytrack/telemetry';
import type {Leader, LeaderFollower, RelayAccess} from '@fireflytrack/zone';
import {z} from 'zod';

export interface PolicyExchangeOptions {
  /** The policy in force; undefined before the first. */
  current(): TrafficPolicy | undefined;
  /** Takes a policy that may be newer than the one in force. */
  offer(policy: TrafficPolicy): void;
  /** Called when a leader was asked, or there is none to ask. */
  onAsked(): void;
  logger: Logger;
}

const NEWEST_KIND = 'policy.newest';
const CONNECT_TIMEOUT_MS = 200;
const RESPONSE_TIMEOUT_MS = 1000;

const requestSchema = z.object({
  /** Version that the member has; -1 if it has none. */
  version: z.number(),
});
const responseSchema = z.object({
  /** Absent if the leader knows no newer one. */
  policy: trafficPolicySchema.optional(),
});

export class PolicyExchange implements LeaderFollower {
  private access: RelayAccess | undefined;

  private constructor(private readonly options: PolicyExchangeOptions) {}

  static create(options: PolicyExchangeOptions): PolicyExchange {
    return new PolicyExchange(options);
  }

  join(access: RelayAccess): void {
    this.access = access;
    access.network.onRequest(NEWEST_KIND, (_from, payload) => {
      const {version} = requestSchema.parse(payload);
      const policy = this.options.current();
      return policy && policy.version > version ? {policy} : {};
    });
  }

  followLeader(leader: Leader): void {
    void this.requestNewest(leader);
  }

  /** A new leader asks the leader of another zone. */
  becomeLeader(): void {
    const [other] = this.access?.election.otherLeaders ?? [];
    if (other) void this.requestNewest(other);
    else this.options.onAsked();
  }

  private async requestNewest(leader: Leader): Promise<void> {
    await this.offerNewest(leader);
    this.options.onAsked();
  }

  private async offerNewest(leader: Leader): Promise<void> {
    const {network, election} = this.access!;
    const {current, offer, logger} = this.options;
    if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) return;
    const response = await network.request(
      leader.instanceId,
      NEWEST_KIND,
      {version: current()?.version ?? -1},
      RESPONSE_TIMEOUT_MS,
    );
    // Leaders of earlier builds don't know the request; the store is read anyway.
    if (response.err) return;
    const parsed = responseSchema.safeParse(response.val);
    if (!parsed.success) {
      const fields = {leader: leader.instanceId, reason: parsed.error.message};
      logger.warn('policy of the leader not taken', fields);
      return;
    }
    if (parsed.data.policy) offer(parsed.data.policy);
  }
}
