/**
 * The retry budget, pooled per availability zone. The leader grants each retry,
 * because a single instance receives too few requests to earn a retry before it
 * needs one. Without failures nothing is sent.
 *
 * An instance that cannot reach a leader may retry a small fraction of the
 * requests that it receives in the meantime.
 */
import type {RetryBudget, RetryCause} from '@fireflytrack/upstream';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {SlidingWindowCounter} from './sliding-window-counter.js';
import {RetryLedger, createRequestCounter} from './retry-ledger.js';
import type {RetryBounds} from './retry-ledger.js';
import type {ZoneElection} from './zone-election.js';

const TAKE_KIND = 'repeat.take';
// A response within a zone takes a few milliseconds; waiting for a slow leader
// would use up the request's deadline.
const TAKE_TIMEOUT_MS = 80;
// Fraction of the retry ratio that is used without a leader, because its
// earlier grants are not known to this instance.
const NO_LEADER_RATIO_FRACTION = 0.5;
// Far above the requests that one instance can receive within a window (10 s).
const MAX_REPORTED_REQUESTS = 1_000_000;

const takeRequestSchema = z.object({
  service: z.string(),
  /** Requests that the instance received within the last window. */
  requests: z.number().nonnegative().max(MAX_REPORTED_REQUESTS),
  cause: z.enum(['failure', 'slowness']),
});
const takeResponseSchema = z.object({granted: z.boolean()});

export interface RetryAccess {
  network: PeerNetwork;
  election: Pick<ZoneElection, 'isLeader' | 'reachableLeader'>;
}

export class ZoneRetries {
  private readonly budgets = new Map<string, ServiceRetryBudget>();
  private readonly ledgers = new Map<string, RetryLedger>();
  private access: RetryAccess | undefined;
  private leaderSinceMs = 0;

  private constructor(private readonly bounds: RetryBounds) {}

  static create(bounds: RetryBounds): ZoneRetries {
    return new ZoneRetries(bounds);
  }

  /** Starts requesting grants from the zone leader. */
  join(access: RetryAccess): void {
    this.access = access;
    access.network.onRequest(TAKE_KIND, (from, payload) => {
      if (!access.election.isLeader) {
        throw new Error('this instance does not lead a zone');
      }
      const {service, requests, cause} = takeRequestSchema.parse(payload);
      return {granted: this.grant(from.instanceId, service, requests, cause)};
    });
  }

  /** Resets the ledgers when this instance becomes the leader of its zone. */
  becomeLeader(): void {
    this.ledgers.clear();
    this.leaderSinceMs = performance.now();
  }

  budgetFor(service: string): RetryBudget {
    let budget = this.budgets.get(service);
    if (!budget) {
      budget = ServiceRetryBudget.create(this.bounds, {
        hasLeader: () => this.hasLeader,
        requestGrant: (requests, cause) =>
          this.requestGrant(service, requests, cause),
      });
      this.budgets.set(service, budget);
    }
    return budget;
  }

  private get hasLeader(): boolean {
    const election = this.access?.election;
    return Boolean(election?.isLeader || election?.reachableLeader);
  }

  /** Returns undefined if no leader responds. */
  private async requestGrant(
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
    const response = await network.request(
      leader.instanceId,
      TAKE_KIND,
      {service, requests, cause},
      TAKE_TIMEOUT_MS,
    );
    const grant = takeResponseSchema.safeParse(
      response.ok ? response.val : undefined,
    );
    return grant.success ? grant.data.granted : undefined;
  }

  private grant(
    instanceId: string,
    service: string,
    requests: number,
    cause: RetryCause,
  ): boolean {
    let ledger = this.ledgers.get(service);
    if (!ledger) {
      ledger = RetryLedger.create(this.bounds, this.leaderSinceMs);
      this.ledgers.set(service, ledger);
    }
    ledger.report(instanceId, requests);
    return ledger.tryGrant(cause);
  }
}

interface LeaderClient {
  hasLeader(): boolean;
  requestGrant(
    requests: number,
    cause: RetryCause,
  ): Promise<boolean | undefined>;
}

/** The retry budget of one service at one instance. */
class ServiceRetryBudget implements RetryBudget {
  private readonly requests: SlidingWindowCounter;
  /** Retries earned while no leader was reachable; at most one is kept. */
  private earnedWithoutLeader = 0;

  private constructor(
    private readonly bounds: RetryBounds,
    private readonly leader: LeaderClient,
  ) {
    this.requests = createRequestCounter(bounds);
  }

  static create(bounds: RetryBounds, leader: LeaderClient): ServiceRetryBudget {
    return new ServiceRetryBudget(bounds, leader);
  }

  recordRequest(): void {
    this.requests.add();
    if (this.leader.hasLeader()) {
      this.earnedWithoutLeader = 0;
      return;
    }
    const earned =
      this.earnedWithoutLeader + this.bounds.ratio * NO_LEADER_RATIO_FRACTION;
    this.earnedWithoutLeader = Math.min(1, earned);
  }

  async takeRetry(cause: RetryCause): Promise<boolean> {
    const granted = await this.leader.requestGrant(this.requests.sum(), cause);
    if (granted !== undefined) return granted;
    if (cause === 'slowness' || this.earnedWithoutLeader < 1) return false;
    this.earnedWithoutLeader -= 1;
    return true;
  }
}
