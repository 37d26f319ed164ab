/**
 * The part of a zone's rates that the leader of the zone may grant, so that two
 * instances which both act as its leader never grant the same part.
 *
 * Each instance of a zone carries an equal part. A leader grants its own part and
 * those of the instances that follow it. An instance follows by its responses to
 * the leader's pings, and with each response it promises not to follow another
 * leader for `PROOF_MS`. The leader counts the part from the time at which it
 * sent the ping, so that it stops before the promise ends, also after it was
 * suspended. A promise ends early once the leader is known to have ended.
 *
 * An instance that is not reached keeps its part, since it may act as leader for
 * its own callers. It is forgotten when the table has gone on naming this leader
 * for longer than an instance that reaches no other takes to become leader.
 */
import {elapsedSince, readClocks, sleep} from '@fireflytrack/time';
import type {ClockReading} from '@fireflytrack/time';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';

export interface ZoneShareOptions {
  network: PeerNetwork;
  /** Identifies the run of this instance. */
  lifeId: string;
  /** Run of the leader that this instance follows, if it reaches one. */
  followedLifeId(): string | undefined;
}

/** How this instance became leader. */
export interface Succession {
  /** Instances of the zone, as last counted. */
  instances: number;
  /** Run of the previous leader, if it is known to have ended. */
  endedLifeId?: string | undefined;
}

const PING_KIND = 'zone.ping';
const LEFT_KIND = 'zone.left';
const PING_INTERVAL_MS = 400;
const PING_TIMEOUT_MS = 400;
// A follower's response counts for this long; several pings fit into it.
const PROOF_MS = 1200;
// Wait for new responses when the last ones are too old, as after a pause of the
// process. A response within a zone takes a few milliseconds.
const RENEWAL_WAIT_MS = 100;
// How long a computed fraction is used.
const FRACTION_LIFETIME_MS = 10;
// An instance notices after 5 s at most that its connections are silent, and then
// needs up to 3 s to become leader.
const FORGET_AFTER_MS = 12_000;
const MAX_ID_CHARS = 200;

const lifeIdSchema = z.string().min(1).max(MAX_ID_CHARS);
const pingSchema = z.object({
  lifeId: lifeIdSchema,
  /** Run of the previous leader, if it is known to have ended. */
  endedLifeId: lifeIdSchema.optional(),
});
const pongSchema = z.object({follows: z.boolean()});

interface Follower {
  /** When the ping was sent to which it last responded that it follows. */
  provedAt: ClockReading;
  /** The last ping got no such response. */
  isSilent: boolean;
}

/** To follow no other leader than that of the run `lifeId`. */
interface FollowerPromise {
  lifeId: string;
  untilMs: number;
}

export class ZoneShare {
  /** Called when a follower is counted that was not. */
  onFollowerCounted: (() => void) | undefined;
  private readonly followers = new Map<string, Follower>();
  /** What this instance promised as a follower. */
  private promise: FollowerPromise | undefined;
  private succession: Succession | undefined;
  private startedAt = readClocks();
  /** Counts the times that this instance became leader. */
  private term = 0;
  /** When the table last named this instance as leader. */
  private confirmedAt = readClocks();
  private lastFraction = 0;
  private computedAt: ClockReading | undefined;

  private constructor(private readonly options: ZoneShareOptions) {
    const {network} = options;
    network.onRequest(PING_KIND, (_from, payload) =>
      this.answerPing(pingSchema.parse(payload)),
    );
    network.onMessage(LEFT_KIND, ({instanceId}) => this.forget(instanceId));
  }

  static create(options: ZoneShareOptions): ZoneShare {
    return new ZoneShare(options);
  }

  /** Starts counting followers when this instance becomes leader. */
  begin(succession: Succession): void {
    this.followers.clear();
    this.succession = succession;
    this.term += 1;
    this.startedAt = readClocks();
    this.confirmedAt = this.startedAt;
    this.computedAt = undefined;
    this.releasePromise(succession.endedLifeId);
    void this.pingWhileLeading(this.term);
  }

  /** Stops counting when this instance is no longer leader. */
  end(): void {
    this.succession = undefined;
    this.followers.clear();
    this.computedAt = undefined;
  }

  /** Records that the table named this instance as leader `ageMs` ago. */
  confirm(ageMs: number): void {
    const {monotonicMs, wallMs} = readClocks();
    this.confirmedAt = {
      monotonicMs: monotonicMs - ageMs,
      wallMs: wallMs - ageMs,
    };
  }

  /** Instances of the zone, including those that are not reached. */
  get instances(): number {
    this.forgetLongUnreached();
    return Math.max(this.succession?.instances ?? 1, this.followers.size + 1);
  }

  /** The fraction of the zone's rates that may be granted now. */
  get fraction(): number {
    const {computedAt} = this;
    if (computedAt && elapsedSince(computedAt) < FRACTION_LIFETIME_MS) {
      return this.lastFraction;
    }
    this.computedAt = readClocks();
    this.lastFraction = this.computeFraction();
    return this.lastFraction;
  }

  /**
   * Renews responses that have become too old while their instances were
   * connected. Called before each grant.
   */
  async renew(): Promise<void> {
    const stale = this.connectedFollowers().filter(
      ([, follower]) => !follower.isSilent && !isProved(follower),
    );
    if (stale.length === 0) return;
    const pings = stale.map(([instanceId]) => this.ping(instanceId));
    await Promise.race([Promise.all(pings), sleep(RENEWAL_WAIT_MS)]);
    this.computedAt = undefined;
  }

  /** Announces that this instance leaves the zone, so that its part is free. */
  announceLeaving(leaderId: string): void {
    this.options.network.send(leaderId, LEFT_KIND, {});
  }

  /** Frees the part of an instance that has left the zone. */
  private forget(instanceId: string): void {
    if (!this.succession || !this.followers.delete(instanceId)) return;
    const instances = Math.max(1, this.succession.instances - 1);
    this.succession = {...this.succession, instances};
    this.computedAt = undefined;
  }

  private computeFraction(): number {
    if (!this.succession) return 0;
    const isOwnPartFree = this.promise === undefined || this.isPromiseOver();
    const followers = this.connectedFollowers().filter(([, follower]) =>
      isProved(follower),
    ).length;
    return (followers + (isOwnPartFree ? 1 : 0)) / this.instances;
  }

  private connectedFollowers(): [string, Follower][] {
    const connected = new Set(
      this.options.network.peers().map(({instanceId}) => instanceId),
    );
    return [...this.followers].filter(([id]) => connected.has(id));
  }

  private async pingWhileLeading(term: number): Promise<void> {
    const {network} = this.options;
    const {availabilityZone} = network.self;
    while (this.succession && this.term === term) {
      for (const peer of network.peers()) {
        if (peer.availabilityZone !== availabilityZone) continue;
        void this.ping(peer.instanceId);
      }
      await sleep(PING_INTERVAL_MS);
    }
  }

  private async ping(instanceId: string): Promise<void> {
    const {network, lifeId} = this.options;
    const {succession, term} = this;
    const sentAt = readClocks();
    const response = await network.request(
      instanceId,
      PING_KIND,
      {lifeId, endedLifeId: succession?.endedLifeId},
      PING_TIMEOUT_MS,
    );
    if (!this.succession || this.term !== term) return;
    // Instances of earlier builds don't know the request.
    const isEarlierBuild = response.err && response.val.kind === 'rejected';
    const pong = pongSchema.safeParse(
      isEarlierBuild ? {follows: true} : response.val,
    );
    const known = this.followers.get(instanceId);
    if (pong.success && pong.data.follows) {
      this.followers.set(instanceId, {provedAt: sentAt, isSilent: false});
      if (known && isProved(known)) return;
      this.computedAt = undefined;
      this.onFollowerCounted?.();
    } else if (known) {
      known.isSilent = true;
    }
  }

  private answerPing({
    lifeId,
    endedLifeId,
  }: z.infer<typeof pingSchema>): z.infer<typeof pongSchema> {
    this.releasePromise(endedLifeId);
    const isPromisedElsewhere =
      this.promise !== undefined &&
      this.promise.lifeId !== lifeId &&
      !this.isPromiseOver();
    if (isPromisedElsewhere || this.options.followedLifeId() !== lifeId) {
      return {follows: false};
    }
    this.promise = {lifeId, untilMs: performance.now() + PROOF_MS};
    return {follows: true};
  }

  /** Ends the promise to a leader that can grant nothing more. */
  releasePromise(lifeId: string | undefined): void {
    if (this.promise?.lifeId === lifeId) this.promise = undefined;
  }

  private isPromiseOver(): boolean {
    return performance.now() >= (this.promise?.untilMs ?? 0);
  }

  private forgetLongUnreached(): void {
    if (!this.succession) return;
    const isLong = (since: ClockReading) =>
      elapsedSince(since) > FORGET_AFTER_MS &&
      this.confirmedAt.monotonicMs - since.monotonicMs > FORGET_AFTER_MS;
    for (const [instanceId, follower] of this.followers) {
      if (isLong(follower.provedAt)) this.followers.delete(instanceId);
    }
    if (this.succession.instances > 1 && isLong(this.startedAt)) {
      this.succession = {...this.succession, instances: 1};
    }
  }
}

function isProved({provedAt}: Follower): boolean {
  return elapsedSince(provedAt) < PROOF_MS;
}
