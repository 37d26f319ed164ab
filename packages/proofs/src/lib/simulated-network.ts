/**
 * The peer network of one simulated process. Handlers are deferred while the
 * process is frozen; messages may be duplicated or delayed.
 */
import type {Result} from '@fireflytrack/result';
import type {
  MessageHandler,
  PeerError,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from '@fireflytrack/wire';
import {randomBetween} from './limits-random.js';
import type {Random} from './limits-random.js';
import {SimulatedProcess} from './simulated-process.js';

/** Message faults in effect; the fleet changes them during a run. */
export interface MessageFaults {
  /** Fraction of messages and requests that are delivered twice. */
  duplicatedFraction: number;
  /** Fraction of messages that are delayed. */
  delayedFraction: number;
  /** Longest delay of a delayed message. */
  maxDelayMs: number;
}

export class SimulatedNetwork implements PeerNetwork {
  private constructor(
    private readonly process: SimulatedProcess,
    private readonly network: PeerNetwork,
    private readonly faults: MessageFaults,
    private readonly random: Random,
  ) {}

  static create(
    process: SimulatedProcess,
    network: PeerNetwork,
    faults: MessageFaults,
    random: Random,
  ): SimulatedNetwork {
    return new SimulatedNetwork(process, network, faults, random);
  }

  get self(): PeerIdentity {
    return this.network.self;
  }

  peers(): readonly PeerIdentity[] {
    return this.network.peers();
  }

  send(instanceId: string, kind: string, payload: unknown): void {
    const copies = this.random() < this.faults.duplicatedFraction ? 2 : 1;
    SimulatedProcess.runOutside(() => {
      for (let copy = 0; copy < copies; copy += 1) {
        this.sendOrDelay(instanceId, kind, payload);
      }
    });
  }

  broadcast(kind: string, payload: unknown): void {
    for (const peer of this.peers()) this.send(peer.instanceId, kind, payload);
  }

  request(
    instanceId: string,
    kind: string,
    payload: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, PeerError>> {
    const sendRequest = () =>
      this.network.request(instanceId, kind, payload, timeoutMs);
    const response = SimulatedProcess.runOutside(() => {
      if (this.random() < this.faults.duplicatedFraction) void sendRequest();
      return sendRequest();
    });
    return this.process.deliver(response);
  }

  onMessage(kind: string, handler: MessageHandler): void {
    this.network.onMessage(kind, (from, payload) =>
      this.process.runOrDefer(() => handler(from, payload)),
    );
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.network.onRequest(
      kind,
      (from, payload) =>
        new Promise((resolve, reject) => {
          this.process.runOrDefer(() => {
            try {
              resolve(handler(from, payload));
            } catch (error) {
              reject(error);
            }
          });
        }),
    );
  }

  private sendOrDelay(
    instanceId: string,
    kind: string,
    payload: unknown,
  ): void {
    if (this.random() >= this.faults.delayedFraction) {
      this.network.send(instanceId, kind, payload);
      return;
    }
    const payloadCopy = structuredClone(payload);
    const delayMs = randomBetween(this.random, 0, this.faults.maxDelayMs);
    setTimeout(() => this.network.send(instanceId, kind, payloadCopy), delayMs);
  }
}
