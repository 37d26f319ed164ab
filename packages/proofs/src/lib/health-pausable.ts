/**
 * Pauses one instance of a simulated fleet: while it is paused its timers and
 * the messages and answers for it wait, and run when it resumes.
 */
import type {IntervalScheduler} from '@fireflytrack/health';
import type {
  MessageHandler,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from '@fireflytrack/wire';
import type {Random} from './health-random.js';

export class Pausable implements IntervalScheduler {
  private isPaused = false;
  private readonly timers: (() => void)[] = [];
  private readonly arrivals: (() => void)[] = [];

  private constructor(private readonly random: Random) {}

  static create(random: Random): Pausable {
    return new Pausable(random);
  }

  pause(durationMs: number): void {
    this.isPaused = true;
    setTimeout(() => this.resume(), durationMs);
  }

  /** Runs what came from outside, now or when the pause ends. */
  arrive(action: () => void): void {
    if (this.isPaused) this.arrivals.push(action);
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
        if (this.isPaused) this.timers.push(fire);
        else fire();
      }, waitMs);
    };
    // Instances do not start in step.
    schedule(intervalMs * this.random());
    return () => {
      stopped = true;
    };
  }

  /** Timers run before arrivals, as in Node.js after a stall. */
  private resume(): void {
    this.isPaused = false;
    for (const timer of this.timers.splice(0)) timer();
    for (const arrival of this.arrivals.splice(0)) arrival();
  }
}

/** Changes what an instance tells its peers. */
export type Lie = (kind: string, payload: unknown) => unknown;

/** The network of an instance that can be paused and can lie. */
export class PausableNetwork implements PeerNetwork {
  lie: Lie | undefined;

  private constructor(
    private readonly inner: PeerNetwork,
    private readonly pausable: Pausable,
  ) {}

  static create(inner: PeerNetwork, pausable: Pausable): PausableNetwork {
    return new PausableNetwork(inner, pausable);
  }

  get self(): PeerIdentity {
    return this.inner.self;
  }

  peers(): readonly PeerIdentity[] {
    return this.inner.peers();
  }

  send(instanceId: string, kind: string, payload: unknown): void {
    this.inner.send(instanceId, kind, this.told(kind, payload));
  }

  broadcast(kind: string, payload: unknown): void {
    this.inner.broadcast(kind, this.told(kind, payload));
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
      this.pausable.arrive(() => handler(from, payload)),
    );
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.inner.onRequest(kind, handler);
  }

  private told(kind: string, payload: unknown): unknown {
    return this.lie ? this.lie(kind, payload) : payload;
  }
}
