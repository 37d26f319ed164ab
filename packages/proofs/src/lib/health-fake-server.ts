/** A simulated backend server with slots, a queue, cold starts and faults. */
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

/** Faults of one server; each can change at any moment of a run. */
export interface FakeServerFaults {
  /** Factor on the service time. */
  slowFactor: number;
  /** Fraction of responses that fail validation. */
  wrongShare: number;
  /** Fraction of responses with a 5xx status. */
  errorShare: number;
  /** Fraction of requests that the server sheds. */
  shedShare: number;
  draining: boolean;
}

/** A request to the server; cancelled requests are dropped from the queue. */
export interface FakeRequest {
  callerError: boolean;
  cancelled: boolean;
  /** Receives the outcome of the request. */
  respond(kind: ServerOutcome['kind']): void;
}

export const NO_FAULTS: Readonly<FakeServerFaults> = {
  slowFactor: 1,
  wrongShare: 0,
  errorShare: 0,
  shedShare: 0,
  draining: false,
};

const COLD_START_FACTOR = 3;
const MAX_QUEUED_PER_SLOT = 8;

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

  /** Triples the service time for `durationMs` from now. */
  beginColdStart(durationMs: number): void {
    this.coldUntilMs = performance.now() + durationMs;
  }

  /** The health check doesn't detect slow or wrong responses. */
  probe(): ProbeResult {
    if (this.faults.draining) return 'draining';
    return this.isCold() ? 'cold' : 'up';
  }

  handle(request: FakeRequest): void {
    if (this.faults.draining) return request.respond('draining');
    if (this.options.random() < this.faults.shedShare) {
      return request.respond('shed');
    }
    if (this.slotsInUse < this.options.slots) return this.serve(request);
    if (this.queue.length >= this.options.slots * MAX_QUEUED_PER_SLOT) {
      return request.respond('shed');
    }
    this.queue.push(request);
  }

  private serve(request: FakeRequest): void {
    this.slotsInUse += 1;
    setTimeout(() => {
      this.slotsInUse -= 1;
      this.serveNext();
      request.respond(this.drawOutcome(request));
    }, this.drawServiceTimeMs());
  }

  private serveNext(): void {
    while (this.queue.length > 0) {
      const next = this.queue.shift()!;
      if (!next.cancelled) return this.serve(next);
    }
  }

  private drawServiceTimeMs(): number {
    const {random, serviceTimeMs} = this.options;
    const variation = 0.5 + random();
    const coldFactor = this.isCold() ? COLD_START_FACTOR : 1;
    return serviceTimeMs * variation * coldFactor * this.faults.slowFactor;
  }

  private drawOutcome(request: FakeRequest): ServerOutcome['kind'] {
    const {random} = this.options;
    if (random() < this.faults.errorShare) return 'fault';
    if (request.callerError) return 'caller-error';
    return random() < this.faults.wrongShare ? 'invalid' : 'ok';
  }

  private isCold(): boolean {
    return performance.now() < this.coldUntilMs;
  }
}
