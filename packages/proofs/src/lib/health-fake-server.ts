/** A backend server in simulated time: slots, a queue, cold start, faults. */
import type {ProbeResult, ServerOutcome} from '@fireflytrack/health';
import type {Random} from './health-random.js';

export interface FakeServerOptions {
  serverId: string;
  availabilityZone: string;
  region: string;
  slots: number;
  serviceTimeMs: number;
  random: Random;
}

/** Every part can change at any moment of a run. */
export interface FakeServerFaults {
  /** Service time is multiplied by this. */
  slowFactor: number;
  /** Fraction of answers that fail the checks. */
  wrongShare: number;
  /** Fraction of answers that are 5xx. */
  errorShare: number;
  /** Fraction of requests that the server sheds on purpose. */
  shedShare: number;
  draining: boolean;
}

/** A request at the server; a cancelled one is dropped from the queue. */
export interface FakeRequest {
  callerError: boolean;
  cancelled: boolean;
  /** Called with the server's answer. */
  answer(kind: ServerOutcome['kind']): void;
}

export const NO_FAULTS: Readonly<FakeServerFaults> = {
  slowFactor: 1,
  wrongShare: 0,
  errorShare: 0,
  shedShare: 0,
  draining: false,
};

const COLD_FACTOR = 3;
const QUEUE_PER_SLOT = 8;

export class FakeServer {
  faults: FakeServerFaults = {...NO_FAULTS};
  private coldUntilMs = 0;
  private slotsInUse = 0;
  private readonly queue: FakeRequest[] = [];

  private constructor(readonly options: FakeServerOptions) {}

  static create(options: FakeServerOptions): FakeServer {
    return new FakeServer(options);
  }

  get serverId(): string {
    return this.options.serverId;
  }

  /** Answers take three times as long from now on for `durationMs`. */
  beginColdStart(durationMs: number): void {
    this.coldUntilMs = performance.now() + durationMs;
  }

  /** The health endpoint does not notice slow or wrong answers. */
  health(): ProbeResult {
    if (this.faults.draining) return 'draining';
    return this.isCold() ? 'cold' : 'up';
  }

  handle(request: FakeRequest): void {
    if (this.faults.draining) return request.answer('draining');
    if (this.options.random() < this.faults.shedShare) {
      return request.answer('shed');
    }
    if (this.slotsInUse < this.options.slots) return this.serve(request);
    if (this.queue.length >= this.options.slots * QUEUE_PER_SLOT) {
      return request.answer('shed');
    }
    this.queue.push(request);
  }

  private serve(request: FakeRequest): void {
    this.slotsInUse += 1;
    setTimeout(() => {
      this.slotsInUse -= 1;
      this.serveNext();
      request.answer(this.outcomeOf(request));
    }, this.durationMs());
  }

  private serveNext(): void {
    while (this.queue.length > 0) {
      const next = this.queue.shift()!;
      if (!next.cancelled) return this.serve(next);
    }
  }

  private durationMs(): number {
    const {random, serviceTimeMs} = this.options;
    const variation = 0.5 + random();
    const coldFactor = this.isCold() ? COLD_FACTOR : 1;
    return serviceTimeMs * variation * coldFactor * this.faults.slowFactor;
  }

  private outcomeOf(request: FakeRequest): ServerOutcome['kind'] {
    const {random} = this.options;
    if (random() < this.faults.errorShare) return 'fault';
    if (request.callerError) return 'caller-error';
    return random() < this.faults.wrongShare ? 'invalid' : 'ok';
  }

  private isCold(): boolean {
    return performance.now() < this.coldUntilMs;
  }
}
