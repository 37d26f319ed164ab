/**
 * Faulty limiters: each leaves out one rule of the design. The checker must
 * find what they break, or it proves nothing about the real one.
 */
import {
  BORROW_KIND,
  BorrowingLimiter,
  TokenBucket,
  borrowRequestSchema,
} from '@fireflytrack/limits';
import type {Admission} from '@fireflytrack/limits';
import type {TableOperation, TableService} from '@fireflytrack/platform';
import {Ok} from '@fireflytrack/result';
import type {PeerNetwork, RequestHandler} from '@fireflytrack/wire';
import type {FleetLimiter, LimiterContext} from './limits-fleet.js';

/** Every instance enforces the whole rate and burst by itself. */
class IndependentBuckets implements FleetLimiter {
  private readonly buckets = new Map<string, TokenBucket>();

  constructor({source}: LimiterContext) {
    for (const team of source.current()!.configuration.teams.values()) {
      const bucket = TokenBucket.create({
        ratePerSecond: team.ratePerSecond,
        capacityTokens: team.burstTokens,
        initialTokens: team.burstTokens,
      });
      this.buckets.set(team.name, bucket);
    }
  }

  admit(teamName: string): Admission {
    if (this.buckets.get(teamName)?.tryTake(1)) return {admitted: true};
    return {admitted: false, retryAfterMs: 1000};
  }
}

export function independentBuckets(context: LimiterContext): FleetLimiter {
  return new IndependentBuckets(context);
}

/** Lenders grant what is asked and keep their tokens. */
export function lenderWithoutSubtracting(
  context: LimiterContext,
): FleetLimiter {
  const generous: RequestHandler = (_from, payload) => {
    const {wantedMicro} = borrowRequestSchema.parse(payload);
    return {grantedMicro: wantedMicro, lendableMicro: wantedMicro};
  };
  const network = withHandler(context.network, BORROW_KIND, generous);
  return BorrowingLimiter.create({...context, network});
}

/** Writes count as done when they are sent, so shares rise too early. */
export function sharesRaisedBeforeWritten(
  context: LimiterContext,
): FleetLimiter {
  const {table} = context;
  const hasty: TableService = {
    get: key => table.get(key),
    scan: (prefix, limit) => table.scan(prefix, limit),
    batch: async (operations, options) => {
      void table.batch(operations, options);
      return Ok(operations.map(assumedApplied));
    },
  };
  return BorrowingLimiter.create({...context, table: hasty});
}

function assumedApplied(operation: TableOperation) {
  return {applied: true as const, version: operation.ifVersion + 1};
}

function withHandler(
  network: PeerNetwork,
  kind: string,
  replacement: RequestHandler,
): PeerNetwork {
  return {
    self: network.self,
    peers: () => network.peers(),
    send: (id, sentKind, payload) => network.send(id, sentKind, payload),
    broadcast: (sentKind, payload) => network.broadcast(sentKind, payload),
    request: (id, sentKind, payload, timeoutMs) =>
      network.request(id, sentKind, payload, timeoutMs),
    onMessage: (sentKind, handler) => network.onMessage(sentKind, handler),
    onRequest: (sentKind, handler) =>
      network.onRequest(sentKind, sentKind === kind ? replacement : handler),
  };
}
