/**
 * The budget of repeats, pooled in each availability zone: the leader grants
 * each repeat, because one instance alone receives too few requests to earn a
 * repeat before it needs one. Nothing is sent while nothing fails.
 *
 * An instance that reaches no leader repeats a small share of the requests that
 * it receives meanwhile.
 */
import type {RetryBudget, RetryCause} from '@fireflytrack/upstream';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {RecentCount} from './recent-count.js';
import {RepeatLedger, requestCounter} from './repeat-ledger.js';
import type {RepeatBounds} from './repeat-ledger.js';
import type {ZoneElection} from './zone-election.js';

const TAKE = 'repeat.take';
// An answer within a zone takes some milliseconds; waiting for a slow leader
// would use up the time of the request.
const TAKE_TIMEOUT_MS = 80;
// Part of the ratio that is used without a leader: what it granted before is
// not known here.
const ALONE_RATIO_SHARE = 0.5;

const takeSchema = z.object({
  service: z.string(),
  /** Requests that the instance received within the last window. */
  requests: z.number().nonnegative(),
  cause: z.enum(['failure', 'slowness']),
});
const takenSchema = z.object({granted: z.boolean()});

export interface RepeatAccess {
  network: PeerNetwork;
  election: Pick<ZoneElection, 'isLeader' | 'reachableLeader'>;
}

export class ZoneRepeats {
  private readonly budgets = new Map<string, ServiceRepeats>();
  private readonly ledgers = new Map<string, RepeatLedger>();
  private access: RepeatAccess | undefined;
  private leadsSinceMs = 0;

  private constructor(private readonly bounds: RepeatBounds) {}

  static create(bounds: RepeatBounds): ZoneRepeats {
    return new ZoneRepeats(bounds);
  }

  /** From now on the leader of the zone is asked. */
  join(access: RepeatAccess): void {
    this.access = access;
    access.network.onRequest(TAKE, (from, payload) => {
      if (!access.election.isLeader) {
        throw new Error('this instance does not lead a zone');
      }
      const {service, requests, cause} = takeSchema.parse(payload);
      return {granted: this.grant(from.instanceId, service, requests, cause)};
    });
  }

  /** This instance begins to lead its zone. */
  beginLead(): void {
    this.ledgers.clear();
    this.leadsSinceMs = performance.now();
  }

  budgetOf(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = ServiceRepeats.create(this.bounds, {
        hasLeader: () => this.hasLeader,
        ask: (requests, cause) => this.ask(service, requests, cause),
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }

  private get hasLeader(): boolean {
    const election = this.access?.election;
    return Boolean(election?.isLeader || election?.reachableLeader);
  }

  /** Undefined if no leader answers. */
  private async ask(
    service: string,
    requests: number,
    cause: RetryCause,
  ): Promise<boolean | undefined> {
    if (!this.access) return undefined;
    const {network, election} = this.access;
    if (election.isLeader) {
      return this.grant(network.self.instanceId, service, requests, cause);
    }
    const leader = election.reachableLeader;
    if (!leader) return undefined;
    const answer = await network.request(
      leader.instanceId,
      TAKE,
      {service, requests, cause},
      TAKE_TIMEOUT_MS,
    );
    const taken = takenSchema.safeParse(answer.ok ? answer.val : undefined);
    return taken.success ? taken.data.granted : undefined;
  }

  private grant(
    instanceId: string,
    service: string,
    requests: number,
    cause: RetryCause,
  ): boolean {
    let ledger = this.ledgers.get(service);
    if (!ledger) {
      ledger = RepeatLedger.create(this.bounds, this.leadsSinceMs);
      this.ledgers.set(service, ledger);
    }
    ledger.report(instanceId, requests);
    return ledger.tryGrant(cause);
  }
}

interface LeaderCalls {
  hasLeader(): boolean;
  ask(requests: number, cause: RetryCause): Promise<boolean | undefined>;
}

/** The budget of one service as one instance uses it. */
class ServiceRepeats implements RetryBudget {
  private readonly requests: RecentCount;
  /** Repeats earned while no leader was reached; at most one is kept. */
  private earnedAlone = 0;

  private constructor(
    private readonly bounds: RepeatBounds,
    private readonly leader: LeaderCalls,
  ) {
    this.requests = requestCounter(bounds);
  }

  static create(bounds: RepeatBounds, leader: LeaderCalls): ServiceRepeats {
    return new ServiceRepeats(bounds, leader);
  }

  recordRequest(): void {
    this.requests.add();
    if (this.leader.hasLeader()) {
      this.earnedAlone = 0;
      return;
    }
    const earned = this.earnedAlone + this.bounds.ratio * ALONE_RATIO_SHARE;
    this.earnedAlone = Math.min(1, earned);
  }

  async takeRetry(cause: RetryCause): Promise<boolean> {
    const granted = await this.leader.ask(this.requests.read(), cause);
    if (granted !== undefined) return granted;
    if (cause === 'slowness' || this.earnedAlone < 1) return false;
    this.earnedAlone -= 1;
    return true;
  }
}
