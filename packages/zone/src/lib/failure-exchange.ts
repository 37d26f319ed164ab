/**
 * Distributes failures of backend servers through the zone leaders: every
 * failure to the instances of the same region, and failed trials also to other
 * regions.
 *
 * A single instance sees too few requests to detect a gray server. Other
 * regions use the server less and traffic to them is the most expensive, so
 * they are notified of persistent failures only. Without failures nothing is
 * sent.
 */
import {z} from 'zod';
import {FleetBroadcast, scopeSchema} from './fleet-broadcast.js';
import type {FleetBroadcastOptions} from './fleet-broadcast.js';

export interface FailureExchangeOptions
  extends Omit<FleetBroadcastOptions, 'kind'> {
  onFailure(failure: ServerFailure): void;
}

const FAILURE_KIND = 'server.failed';
// A leader forwards at most one failure per server within this time.
const MIN_FORWARD_INTERVAL_MS = 1000;

const serverFailureSchema = z.object({
  serverId: z.string(),
  service: z.string(),
  /**
   * Whether the server also failed the trial that followed an earlier failure.
   */
  failedTrial: z.boolean(),
});
export type ServerFailure = z.infer<typeof serverFailureSchema>;

const messageSchema = serverFailureSchema.extend({
  scope: scopeSchema,
});
type FailureMessage = z.infer<typeof messageSchema>;

export class FailureExchange {
  private readonly forwardedAtMs = new Map<string, number>();
  private readonly broadcast: FleetBroadcast;

  private constructor(private readonly options: FailureExchangeOptions) {
    this.broadcast = FleetBroadcast.create({...options, kind: FAILURE_KIND});
    options.network.onMessage(FAILURE_KIND, (from, payload) =>
      this.receive(from.instanceId, payload),
    );
  }

  static create(options: FailureExchangeOptions): FailureExchange {
    return new FailureExchange(options);
  }

  report(failure: ServerFailure): void {
    const {network, election} = this.options;
    const message: FailureMessage = {...failure, scope: 'fleet'};
    if (election.isLeader) this.forward(message, network.self.instanceId);
    else this.broadcast.sendToLeader(message);
  }

  private receive(sender: string, payload: unknown): void {
    const message = messageSchema.parse(payload);
    const {serverId, service, failedTrial} = message;
    this.options.onFailure({serverId, service, failedTrial});
    if (this.options.election.isLeader) this.forward(message, sender);
  }

  private forward(message: FailureMessage, sender: string): void {
    if (!this.tryMarkForwarded(message.serverId)) return;
    const {scope, failedTrial} = message;
    const reach = scope === 'fleet' && !failedTrial ? 'region' : scope;
    this.broadcast.forward(message, sender, reach);
  }

  private tryMarkForwarded(serverId: string): boolean {
    const nowMs = performance.now();
    for (const [forwardedId, atMs] of this.forwardedAtMs) {
      if (nowMs - atMs >= MIN_FORWARD_INTERVAL_MS)
        this.forwardedAtMs.delete(forwardedId);
    }
    if (this.forwardedAtMs.has(serverId)) return false;
    this.forwardedAtMs.set(serverId, nowMs);
    return true;
  }
}
