/**
 * Faulty limiters, each without one rule of the design. The checker must detect
 * their violations; otherwise its passes for the real limiter prove nothing.
 */
import {
  BORROW_KIND,
  BorrowingLimiter,
  TokenBucket,
  borrowRequestSchema,
  ledgerRowSchema,
} from '@fireflytrack/limits';
import type {Admission, LedgerRow} from '@fireflytrack/limits';
import type {TableService} from '@fireflytrack/platform';
import {Ok} from '@fireflytrack/result';
import type {PeerNetwork, RequestHandler} from '@fireflytrack/wire';
import type {FleetLimiter, LimiterContext} from './limits-fleet.js';

/** Every instance enforces the complete rate and burst independently. */
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

/** Limiter without any coordination between instances. */
export function independentBuckets(context: LimiterContext): FleetLimiter {
  return new IndependentBuckets(context);
}

/** Lenders grant each request in full without giving up their own tokens. */
export function lenderWithoutSubtracting(
  context: LimiterContext,
): FleetLimiter {
  const grantEverything: RequestHandler = (_from, payload) => {
    const {wantedMicro} = borrowRequestSchema.parse(payload);
    return {grantedMicro: wantedMicro, lendableMicro: wantedMicro};
  };
  const network = replaceRequestHandler(
    context.network,
    BORROW_KIND,
    grantEverything,
  );
  return BorrowingLimiter.create({...context, network});
}

/**
 * An instance uses the even share as soon as it reads that another instance
 * owns more, before that donor has reduced its own share and written the ledger.
 */
export function sharesRaisedBeforeWritten(
  context: LimiterContext,
): FleetLimiter {
  const {table, membership} = context;
  const selfId = membership.self.instanceId;
  const tableWithRaisedShare: TableService = {
    get: async key => {
      const result = await table.get(key);
      if (result.err || !result.val) return result;
      const row = ledgerRowSchema.parse(result.val.value);
      const evenParts = Math.floor(1e6 / membership.liveIds().length);
      return Ok({...result.val, value: raiseShare(row, selfId, evenParts)});
    },
    scan: (prefix, limit) => table.scan(prefix, limit),
    batch: (operations, options) => table.batch(operations, options),
  };
  return BorrowingLimiter.create({...context, table: tableWithRaisedShare});
}

function raiseShare(row: LedgerRow, selfId: string, parts: number): LedgerRow {
  const owners = Object.entries(row.owners);
  const [richestId, richestParts] = owners.sort((a, b) => b[1] - a[1])[0] ?? [
    '',
    0,
  ];
  const ownParts = row.owners[selfId] ?? 0;
  const missingParts = Math.min(parts - ownParts, richestParts);
  if (missingParts <= 0 || richestId === selfId) return row;
  return {
    owners: {
      ...row.owners,
      [selfId]: ownParts + missingParts,
      [richestId]: richestParts - missingParts,
    },
    freeParts: row.freeParts,
  };
}

function replaceRequestHandler(
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
