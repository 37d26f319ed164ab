/**
 * Tells the instances which requests may crash backend servers.
 *
 * An instance tells its zone leader of each crash. Leaders tell each other, so
 * that every leader knows all crashes, and tell their zones of requests that
 * have more than one. Messages carry the whole state of a request and are
 * repeated until they are acknowledged; receivers merge them by union. An
 * instance that starts to follow a leader exchanges what it knows with it.
 * Nothing is sent while no server crashes.
 *
 * One trial of a held request is granted at a time: by the leader that ranks
 * first for the request among the leaders of all zones.
 */
import {rankByRendezvous} from '@fireflytrack/membership';
import {sleep} from '@fireflytrack/time';
import {suspicionSchema} from '@fireflytrack/upstream';
import type {CrashSuspects, Suspicion} from '@fireflytrack/upstream';
import type {PeerNetwork} from '@fireflytrack/wire';
import {z} from 'zod';
import type {Leader} from './leader-row.js';
import type {LeaderFollower} from './zone-member.js';
import type {ZoneElection} from './zone-election.js';

export interface CrashExchangeAccess {
  network: PeerNetwork;
  election: Pick<
    ZoneElection,
    'isLeader' | 'reachableLeader' | 'otherLeaders' | 'connect'
  >;
}

const TELL_KIND = 'crash.tell';
const SYNC_KIND = 'crash.sync';
const TRIAL_KIND = 'crash.trial';
// Connecting to another zone takes three round trips.
const CONNECT_TIMEOUT_MS = 200;
const ACK_TIMEOUT_MS = 400;
const MIN_RETRY_MS = 100;
const MAX_RETRY_MS = 1000;
const MAX_PER_MESSAGE = 32;
// Bounds the rate of messages to one instance.
const MESSAGE_INTERVAL_MS = 20;
// A single crash is no reason to change anything at the other instances.
const MIN_CRASHES_TOLD_TO_ZONE = 2;
const MAX_SYNCED = 200;
const LEADERS_SYNCED = 3;
const MAX_SYNC_TRIES = 10;
const SYNC_RETRY_MS = 500;
const LEADER_CHECK_MS = 200;
const TRIAL_TIMEOUT_MS = 300;
const TRIAL_RETRY_MS = 1000;
// A silent leader is replaced only after seconds.
const OTHER_LEADERS_TRIED = 2;

const tellSchema = z.object({
  suspicions: z.array(suspicionSchema),
  /** Whether a leader sent it, so that only the own zone is left to be told. */
  forwarded: z.boolean(),
});
const ackSchema = z.object({
  accepted: z.boolean(),
  /** What the recipient knows of the requests that it was told of. */
  suspicions: z.array(suspicionSchema).default([]),
});
type Ack = z.infer<typeof ackSchema>;
const syncSchema = z.object({suspicions: z.array(suspicionSchema)});
const trialRequestSchema = z.object({
  digest: z.string(),
  forwarded: z.boolean(),
});
type TrialRequest = z.infer<typeof trialRequestSchema>;
const trialResponseSchema = z.object({
  granted: z.boolean(),
  suspicion: suspicionSchema.optional(),
});

/** Requests that an instance has yet to be told of. */
interface Outbox {
  digests: Set<string>;
  isSending: boolean;
}

// Stands for the leader of the own zone, whichever instance that is.
const OWN_LEADER = '';

export class CrashExchange implements LeaderFollower {
  private access: CrashExchangeAccess | undefined;
  private readonly outboxes = new Map<string, Outbox>();
  /** Until when no trial is asked for, by request. */
  private readonly trialPausedUntilMs = new Map<string, number>();
  /** Runs of the leaders of other zones that have been told, by zone. */
  private readonly toldLeaders = new Map<string, string>();
  private leaderCheck: NodeJS.Timeout | undefined;
  /** Whether the change being merged was told by a leader. */
  private mergesForwarded = false;

  private constructor(private readonly suspects: CrashSuspects) {
    suspects.onChange = (digest, source) => this.onChange(digest, source);
  }

  static create(suspects: CrashSuspects): CrashExchange {
    return new CrashExchange(suspects);
  }

  join(access: CrashExchangeAccess): void {
    const {network} = access;
    this.access = access;
    this.outboxes.clear();
    this.toldLeaders.clear();
    network.onRequest(TELL_KIND, (_from, payload) =>
      this.receive(tellSchema.parse(payload)),
    );
    network.onRequest(SYNC_KIND, (_from, payload) => {
      const known = this.listKnown();
      this.mergeAll(syncSchema.parse(payload).suspicions, false);
      return {suspicions: known};
    });
    network.onRequest(TRIAL_KIND, (_from, payload) =>
      this.answerTrial(trialRequestSchema.parse(payload)),
    );
  }

  followLeader(leader: Leader): void {
    void this.synchronize(leader);
  }

  /** A new leader may lack what its predecessor knew; other leaders have it. */
  becomeLeader(): void {
    const leaders = this.access?.election.otherLeaders ?? [];
    for (const leader of leaders.slice(0, LEADERS_SYNCED)) {
      void this.synchronize(leader);
    }
    this.toldLeaders.clear();
    this.tellNewLeaders();
    for (const digest of this.suspects.listDigests()) this.tellZone(digest);
  }

  /** Asks for the trial of a held request; false if none is due or granted. */
  async requestTrial(digest: string): Promise<boolean> {
    const {access} = this;
    if (!access) return false;
    const nowMs = performance.now();
    for (const [paused, untilMs] of this.trialPausedUntilMs) {
      if (nowMs >= untilMs) this.trialPausedUntilMs.delete(paused);
    }
    if (this.trialPausedUntilMs.has(digest)) return false;
    this.trialPausedUntilMs.set(digest, nowMs + TRIAL_RETRY_MS);
    const request = {digest, forwarded: false};
    if (access.election.isLeader)
      return (await this.findTrial(request)).granted;
    const leader = access.election.reachableLeader;
    return leader ? (await this.askForTrial(leader, request)).granted : false;
  }

  private receive({suspicions, forwarded}: z.infer<typeof tellSchema>): Ack {
    const {isLeader} = this.access!.election;
    // A former leader must not keep what its members tell it for itself.
    if (!forwarded && !isLeader) return {accepted: false, suspicions: []};
    this.mergeAll(suspicions, forwarded);
    const known = forwarded
      ? []
      : suspicions.flatMap(({digest}) => this.suspects.read(digest) ?? []);
    return {accepted: true, suspicions: known};
  }

  private async answerTrial(request: TrialRequest) {
    const {election} = this.access!;
    if (!election.isLeader) return {granted: false};
    const {digest} = request;
    const {granted} = request.forwarded
      ? {granted: this.suspects.tryStartTrial(digest)}
      : await this.findTrial(request);
    const suspicion = this.suspects.read(digest);
    return {granted, ...(suspicion ? {suspicion} : {})};
  }

  /** As a leader: decides if it ranks first for the request, or asks the first. */
  private async findTrial({digest}: TrialRequest): Promise<{granted: boolean}> {
    const {network, election} = this.access!;
    const leaders = election.otherLeaders;
    const own = network.self.availabilityZone;
    const zones = leaders.map(({availabilityZone}) => availabilityZone);
    const [first] = rankByRendezvous(digest, [...new Set([...zones, own])]);
    if (first === own) return {granted: this.suspects.tryStartTrial(digest)};
    const owner = leaders.find(leader => leader.availabilityZone === first)!;
    if (!(await election.connect(owner, CONNECT_TIMEOUT_MS)))
      return {granted: false};
    return this.askForTrial(owner, {digest, forwarded: true});
  }

  private async askForTrial(
    leader: Leader,
    request: TrialRequest,
  ): Promise<{granted: boolean}> {
    const {network} = this.access!;
    const {instanceId} = leader;
    const timeoutMs = TRIAL_TIMEOUT_MS;
    const response = await network.request(
      instanceId,
      TRIAL_KIND,
      request,
      timeoutMs,
    );
    const parsed = trialResponseSchema.safeParse(
      response.ok ? response.val : undefined,
    );
    if (!parsed.success) return {granted: false};
    const {granted, suspicion} = parsed.data;
    if (suspicion) this.mergeAll([suspicion], true);
    return {granted};
  }

  private onChange(digest: string, source: 'own' | 'peer'): void {
    if (!this.access) return;
    const {isLeader} = this.access.election;
    if (!isLeader) {
      if (source === 'own') this.tell(OWN_LEADER, digest);
      return;
    }
    if (this.mergesForwarded) this.tellNewLeaders();
    else this.tellOtherLeaders(digest);
    this.tellZone(digest);
  }

  private mergeAll(suspicions: readonly Suspicion[], forwarded: boolean): void {
    this.mergesForwarded = forwarded;
    for (const suspicion of suspicions) this.suspects.merge(suspicion);
    this.mergesForwarded = false;
  }

  private tellOtherLeaders(digest: string): void {
    for (const {instanceId} of this.access!.election.otherLeaders) {
      this.tell(instanceId, digest);
    }
    this.tellNewLeaders();
  }

  /**
   * Tells leaders that have become known since. A leader reads which others there
   * are only now and then, so one that was just elected may have missed changes.
   */
  private tellNewLeaders(): void {
    clearTimeout(this.leaderCheck);
    const {election} = this.access!;
    const digests = this.suspects.listDigests();
    if (!election.isLeader || digests.length === 0) return;
    for (const {
      availabilityZone,
      lifeId,
      instanceId,
    } of election.otherLeaders) {
      if (this.toldLeaders.get(availabilityZone) === lifeId) continue;
      this.toldLeaders.set(availabilityZone, lifeId);
      for (const digest of digests) this.tell(instanceId, digest);
    }
    const check = () => this.tellNewLeaders();
    this.leaderCheck = setTimeout(check, LEADER_CHECK_MS).unref();
  }

  private tellZone(digest: string): void {
    const {network} = this.access!;
    const crashes = this.suspects.read(digest)?.crashes.length ?? 0;
    if (crashes < MIN_CRASHES_TOLD_TO_ZONE) return;
    const {availabilityZone} = network.self;
    for (const peer of network.peers()) {
      if (peer.availabilityZone === availabilityZone) {
        this.tell(peer.instanceId, digest);
      }
    }
  }

  private tell(recipient: string, digest: string): void {
    let outbox = this.outboxes.get(recipient);
    if (!outbox) {
      outbox = {digests: new Set(), isSending: false};
      this.outboxes.set(recipient, outbox);
    }
    outbox.digests.add(digest);
    if (!outbox.isSending) void this.empty(recipient, outbox);
  }

  /** Sends what is in the outbox until all of it has been acknowledged. */
  private async empty(recipient: string, outbox: Outbox): Promise<void> {
    outbox.isSending = true;
    let retryMs = MIN_RETRY_MS;
    while (this.outboxes.get(recipient) === outbox) {
      const digests = [...outbox.digests].slice(0, MAX_PER_MESSAGE);
      if (digests.length === 0 || !this.isRecipient(recipient)) {
        this.outboxes.delete(recipient);
        break;
      }
      for (const digest of digests) outbox.digests.delete(digest);
      if (await this.deliver(recipient, digests)) {
        retryMs = MIN_RETRY_MS;
        await sleep(MESSAGE_INTERVAL_MS);
        continue;
      }
      for (const digest of digests) outbox.digests.add(digest);
      await sleep(retryMs);
      retryMs = Math.min(MAX_RETRY_MS, retryMs * 2);
    }
    outbox.isSending = false;
  }

  /** Whether this instance still has to tell the recipient. */
  private isRecipient(recipient: string): boolean {
    const {network, election} = this.access!;
    if (recipient === OWN_LEADER) return !election.isLeader;
    return (
      election.isLeader &&
      [...election.otherLeaders, ...network.peers()].some(
        ({instanceId}) => instanceId === recipient,
      )
    );
  }

  /** Returns whether the recipient acknowledged the message. */
  private async deliver(
    recipient: string,
    digests: readonly string[],
  ): Promise<boolean> {
    const suspicions = digests.flatMap(
      digest => this.suspects.read(digest) ?? [],
    );
    if (suspicions.length === 0) return true;
    if (recipient !== OWN_LEADER) {
      return this.send(recipient, {suspicions, forwarded: true});
    }
    const {reachableLeader, otherLeaders} = this.access!.election;
    const message = {suspicions, forwarded: false};
    const others = otherLeaders.slice(0, OTHER_LEADERS_TRIED);
    const leaders = reachableLeader ? [reachableLeader, ...others] : others;
    for (const {instanceId} of leaders) {
      if (await this.send(instanceId, message)) return true;
    }
    return false;
  }

  private async send(
    instanceId: string,
    message: z.infer<typeof tellSchema>,
  ): Promise<boolean> {
    const {network, election} = this.access!;
    const leader = election.otherLeaders.find(
      other => other.instanceId === instanceId,
    );
    if (leader && !(await election.connect(leader, CONNECT_TIMEOUT_MS)))
      return false;
    const response = await network.request(
      instanceId,
      TELL_KIND,
      message,
      ACK_TIMEOUT_MS,
    );
    const ack = ackSchema.safeParse(response.ok ? response.val : undefined);
    if (!ack.success) return false;
    this.mergeAll(ack.data.suspicions, true);
    return ack.data.accepted;
  }

  /** Exchanges all that is known with a leader; repeated while it is silent. */
  private async synchronize(leader: Leader): Promise<void> {
    for (let tries = 0; tries < MAX_SYNC_TRIES; tries += 1) {
      if (await this.trySynchronize(leader)) return;
      await sleep(SYNC_RETRY_MS);
      if (!this.isListed(leader)) return;
    }
  }

  private async trySynchronize(leader: Leader): Promise<boolean> {
    const {network, election} = this.access!;
    if (!(await election.connect(leader, CONNECT_TIMEOUT_MS))) return false;
    const response = await network.request(
      leader.instanceId,
      SYNC_KIND,
      {suspicions: this.listKnown()},
      ACK_TIMEOUT_MS,
    );
    const synced = syncSchema.safeParse(response.ok ? response.val : undefined);
    if (!synced.success) return false;
    // Leaders have told each other already.
    this.mergeAll(synced.data.suspicions, election.isLeader);
    return true;
  }

  private isListed({instanceId}: Leader): boolean {
    const {reachableLeader, otherLeaders} = this.access!.election;
    return [reachableLeader, ...otherLeaders].some(
      leader => leader?.instanceId === instanceId,
    );
  }

  private listKnown(): Suspicion[] {
    const digests = this.suspects.listDigests().slice(0, MAX_SYNCED);
    return digests.flatMap(digest => this.suspects.read(digest) ?? []);
  }
}
