/** A process's view of the network: handlers wait while it is frozen, and
 * messages may be repeated or late. */
import type {Result} from '@fireflytrack/result';
import type {
  MessageHandler,
  PeerError,
  PeerIdentity,
  PeerNetwork,
  RequestHandler,
} from '@fireflytrack/wire';
import {between} from './limits-random.js';
import type {Random} from './limits-random.js';
import {SimulatedProcess} from './simulated-process.js';

/** Changed by the fleet while it runs. */
export interface MessageFaults {
  /** Fraction of messages and requests that arrive twice. */
  duplicated: number;
  /** Fraction of messages that are held back. */
  late: number;
  /** Longest time that a late message is held back. */
  lateByMs: number;
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
    const copies = this.random() < this.faults.duplicated ? 2 : 1;
    SimulatedProcess.outside(() => {
      for (let copy = 0; copy < copies; copy += 1) {
        this.sendLater(instanceId, kind, payload);
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
    const ask = () =>
      this.network.request(instanceId, kind, payload, timeoutMs);
    const answer = SimulatedProcess.outside(() => {
      if (this.random() < this.faults.duplicated) void ask();
      return ask();
    });
    return this.process.receive(answer);
  }

  onMessage(kind: string, handler: MessageHandler): void {
    this.network.onMessage(kind, (from, payload) =>
      this.process.perform(() => handler(from, payload)),
    );
  }

  onRequest(kind: string, handler: RequestHandler): void {
    this.network.onRequest(
      kind,
      (from, payload) =>
        new Promise((resolve, reject) => {
          this.process.perform(() => {
            try {
              resolve(handler(from, payload));
            } catch (error) {
              reject(error);
            }
          });
        }),
    );
  }

  private sendLater(instanceId: string, kind: string, payload: unknown): void {
    if (this.random() >= this.faults.late) {
      this.network.send(instanceId, kind, payload);
      return;
    }
    const copy = structuredClone(payload);
    const delayMs = between(this.random, 0, this.faults.lateByMs);
    setTimeout(() => this.network.send(instanceId, kind, copy), delayMs);
  }
}
