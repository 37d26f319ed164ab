/**
 * Removes rows whose window has ended. One instance does it at a time, under
 * a lease whose renewal is part of each removing batch.
 */
import {TableLease} from '@fireflytrack/membership';
import {Ok} from '@fireflytrack/result';
import type {TableRow, TableService} from '@fireflytrack/platform';
import type {Logger} from '@fireflytrack/telemetry';
import {
  KEPT_AFTER_WINDOW_MS,
  ROW_PREFIX,
  WINDOW_MS,
  claimRowSchema,
} from './claim-row.js';
import {uuidTimeMs} from './uuid-time.js';

export interface OnceHousekeepingOptions {
  table: TableService;
  instanceId: string;
  logger: Logger;
}

const LEASE_TTL_MS = 10_000;
const SWEEP_PERIOD_MS = 600_000;
/** Keeps a sweep under 20 reads/s of the table's 2,000. */
const PAGE_PAUSE_MS = 50;
/** Rows carry answers of up to 64 KiB. */
const PAGE_ROWS = 100;
/** Every character that may follow in a percent-encoded row key. */
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

  /** Goes through all rows once while the lease is held. */
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
   * Removes the old rows of one page; returns the prefixes that remain. The
   * table's scan cannot continue after a key, so a full page without old rows
   * is followed by the pages of all longer prefixes.
   */
  private async sweepPage(prefix: string): Promise<string[]> {
    let remaining: string[] = [];
    let removable = 0;
    const removed = await this.lease.runFenced(async () => {
      const rows = await this.options.table.scan(prefix, PAGE_ROWS);
      if (rows.err) return rows;
      const old = rows.val.filter(isRemovable);
      removable = old.length;
      if (rows.val.length === PAGE_ROWS) {
        const longer = [...KEY_CHARACTERS].map(next => prefix + next);
        remaining = removable > 0 ? [prefix] : longer;
      }
      return Ok(old.map(toDeleteOperation));
    });
    const succeeded = removed.ok && removed.val;
    if (succeeded) this.removedRows += removable;
    // A failed page is retried by the next sweep.
    return removable > 0 && !succeeded ? [] : remaining;
  }
}

function toDeleteOperation(row: TableRow) {
  const {key, version: ifVersion} = row;
  return {kind: 'delete' as const, key, ifVersion};
}

/**
 * A UUIDv7 key from a clock that runs ahead stays valid longer than its row
 * is old, so the later of both times counts.
 */
function isRemovable(row: TableRow): boolean {
  const claim = claimRowSchema.safeParse(row.value);
  if (!claim.success) return false;
  const key = decodeURIComponent(row.key.slice(row.key.lastIndexOf('/') + 1));
  const startMs = Math.max(claim.data.createdAtMs, uuidTimeMs(key) ?? 0);
  return Date.now() - startMs > WINDOW_MS + KEPT_AFTER_WINDOW_MS;
}
