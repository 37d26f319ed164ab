/**
 * Removes claim rows whose retry window has ended. One instance at a time does
 * this, under a lease that is renewed in the same atomic batch as each removal.
 */
import {TableLease} from '@fireflytrack/membership';
import {Ok} from '@fireflytrack/result';
import type {TableRow, TableService} from '@fireflytrack/platform';
import type {Logger} from '@fireflytrack/telemetry';
import {
  RETENTION_AFTER_WINDOW_MS,
  ROW_PREFIX,
  RETRY_WINDOW_MS,
  claimRowSchema,
} from './claim-row.js';
import {parseUuidV7TimeMs} from './uuid-time.js';

export interface OnceHousekeepingOptions {
  table: TableService;
  instanceId: string;
  logger: Logger;
}

const LEASE_TTL_MS = 10_000;
const SWEEP_PERIOD_MS = 600_000;
/** Limits a sweep to 20 of the 2,000 reads/s that the table allows. */
const PAGE_PAUSE_MS = 50;
/** Each row may contain a response of up to 64 KiB. */
const PAGE_ROWS = 100;
/** Every character that a percent-encoded row key may contain. */
const KEY_CHARACTERS =
  "%/0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.!~*'()";

export class OnceHousekeeping {
  private readonly lease: TableLease;
  private timer: NodeJS.Timeout | undefined;
  private sweeping = false;
  removedRows = 0;

  private constructor(private readonly options: OnceHousekeepingOptions) {
    const {table, instanceId, logger} = options;
    this.lease = TableLease.create({
      table,
      name: 'once-housekeeping',
      holderId: instanceId,
      ttlMs: LEASE_TTL_MS,
      logger,
    });
  }

  static create(options: OnceHousekeepingOptions): OnceHousekeeping {
    return new OnceHousekeeping(options);
  }

  start(): void {
    this.lease.start();
    this.timer = setInterval(() => {
      this.sweep().catch((error: Error) => {
        const {message} = error;
        this.options.logger.error('housekeeping failed', {message});
      });
    }, SWEEP_PERIOD_MS);
  }

  async stop(): Promise<void> {
    clearInterval(this.timer);
    await this.lease.stop();
  }

  state(): unknown {
    return {leaseHeld: this.lease.isHeld(), removedRows: this.removedRows};
  }

  /** Scans all rows once, as long as the lease is held. */
  async sweep(): Promise<void> {
    if (this.sweeping) return;
    this.sweeping = true;
    try {
      const prefixes = [ROW_PREFIX];
      while (prefixes.length > 0 && this.lease.isHeld()) {
        prefixes.push(...(await this.sweepPage(prefixes.pop()!)));
        await new Promise(resolve => setTimeout(resolve, PAGE_PAUSE_MS));
      }
    } finally {
      this.sweeping = false;
    }
  }

  /**
   * Removes the expired rows of one page and returns the prefixes still to be
   * scanned. A table scan cannot continue after a key, so a full page without
   * expired rows is followed by the pages of all prefixes that are one
   * character longer.
   */
  private async sweepPage(prefix: string): Promise<string[]> {
    let remaining: string[] = [];
    let expiredCount = 0;
    const removed = await this.lease.runFenced(async () => {
      const rows = await this.options.table.scan(prefix, PAGE_ROWS);
      if (rows.err) return rows;
      const expired = rows.val.filter(isExpired);
      expiredCount = expired.length;
      if (rows.val.length === PAGE_ROWS) {
        const longer = [...KEY_CHARACTERS].map(next => prefix + next);
        remaining = expiredCount > 0 ? [prefix] : longer;
      }
      return Ok(expired.map(toDeleteOperation));
    });
    const succeeded = removed.ok && removed.val;
    if (succeeded) this.removedRows += expiredCount;
    // A failed page is retried by the next sweep.
    return expiredCount > 0 && !succeeded ? [] : remaining;
  }
}

function toDeleteOperation(row: TableRow) {
  const {key, version: ifVersion} = row;
  return {kind: 'delete' as const, key, ifVersion};
}

/**
 * Whether the retry window and the time after it have ended. The timestamp of a
 * UUIDv7 key from a clock that runs ahead is later than that of its row, and
 * such a key stays valid longer; the later of both times counts.
 */
function isExpired(row: TableRow): boolean {
  const claim = claimRowSchema.safeParse(row.value);
  if (!claim.success) return false;
  const key = decodeURIComponent(row.key.slice(row.key.lastIndexOf('/') + 1));
  const startMs = Math.max(claim.data.createdAtMs, parseUuidV7TimeMs(key) ?? 0);
  return Date.now() - startMs > RETRY_WINDOW_MS + RETENTION_AFTER_WINDOW_MS;
}
