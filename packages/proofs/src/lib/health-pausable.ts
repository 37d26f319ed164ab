/**
 * Pauses one instance of a simulated fleet: while it is paused, its timers and
 * incoming messages and responses are queued; they run when it resumes.
 */
import type {IntervalScheduler} from '@fireflytrack/health';
import type {
  MessageHandler,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from '@fireflytrack/wire';
import type {Random} from './health-random.js';

export class PausableScheduler implements IntervalScheduler {
  private isPaused = false;
  private readonly pendingTimers: (() => void)[] = [];
  private readonly pendingDeliveries: (() => void)[] = [];

  private constructor(private readonly random: Random) {}

  static create(random: Random): PausableScheduler {
    return new PausableScheduler(random);
  }

  pause(durationMs: number): void {
    this.isPaused = true;
    setTimeout(() => this.resume(), durationMs);
  }

  /** Handles an incoming message or response now, or when the pause ends. */
  deliver(action: () => void): void {
    if (this.isPaused) this.pendingDeliveries.push(action);
    else action();
  }

  every(intervalMs: number, action: () => void): () => void {
    let stopped = false;
    const fire = () => {
      if (stopped) return;
      action();
      schedule(intervalMs);
    };
    const schedule = (waitMs: number) => {
      setTimeout(() => {
        if (this.isPaused) this.pendingTimers.push(fire);
        else fire();
      }, waitMs);
    };
    // A random first delay, so that instances don't run in lockstep.
    schedule(intervalMs * this.random());
    return () => {
      stopped = true;
    };
  }

  /** Timers run before deliveries, as in Node.js after an event loop stall. */
  private resume(): void {
    this.isPaused = false;
    for (const timer of this.pendingTimers.splice(0)) timer();
    for (const deliver of this.pendingDeliveries.splice(0)) deliver();
  }
}

/** Returns the payload that an instance sends instead of the given one. */
export type PayloadRewriter = (kind: string, payload: unknown) => unknown;

/** The network of a pausable instance; can falsify what the instance sends. */
export class PausableNetwork implements PeerNetwork {
  rewritePayload: PayloadRewriter | undefined;

  private constructor(
    private readonly inner: PeerNetwork,
    private readonly scheduler: PausableScheduler,
  ) {}

  static create(
    inner: PeerNetwork,
    scheduler: PausableScheduler,
  ): PausableNetwork {
    return new PausableNetwork(inner, scheduler);
  }

  get self(): PeerIdentity {
    return this.inner.self;
  }

  peers(): readonly PeerIdentity[] {
    return this.inner.peers();
  }

  send(instanceId: string, kind: string, payload: unknown): void {
    this.inner.send(instanceId, kind, this.rewrite(kind, payload));
  }

  broadcast(kind: string, payload: unknown): void {
    this.inner.broadcast(kind, this.rewrite(kind, payload));
  }

  request(
    instanceId: string,
    kind: string,
    payload: unknown,
    timeoutMs: number,
  ): ReturnType<PeerNetwork['request']> {
    return this.inner.request(instanceId, kind, payload, timeoutMs);
  }

  onMessage(kind: string, handler: MessageHandler): void {
    this.inner.onMessage(kind, (from, payload) =>
      this.scheduler.deliver(() => handler(from, payload)),
    );
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.inner.onRequest(kind, handler);
  }

  private rewrite(kind: string, payload: unknown): unknown {
    return this.rewritePayload ? this.rewritePayload(kind, payload) : payload;
  }
}
