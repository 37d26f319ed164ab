/**
 * A lease in the table: at most one instance holds it at a time.
 *
 * The holder's ttl starts before it sends its write. Another instance acquires
 * the lease only after it has observed the row unchanged for the row's ttl.
 * Each uses its own monotonic clock, so the old holder stops before the next
 * one starts. Writes that must not take effect after the lease is lost go
 * through `runFenced`.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {
  PlatformError,
  TableOperation,
  TableRow,
  TableService,
} from '@fireflytrack/platform';
import type {Logger} from '@fireflytrack/telemetry';
import {randomUUID} from 'node:crypto';
import {z} from 'zod';

export interface TableLeaseOptions {
  table: TableService;
  name: string;
  /** Instance id of this holder. */
  holderId: string;
  ttlMs: number;
  logger: Logger;
}

const leaseSchema = z.object({
  /** Instance id of the holder; empty when the lease was released. */
  holder: z.string(),
  /** Fencing token; increases with each acquisition. */
  epoch: z.number().int().positive(),
  ttlMs: z.number().positive(),
  /** Unique for each write; identifies one whose response was lost. */
  writerId: z.string(),
});
type Lease = z.infer<typeof leaseSchema>;

interface HeldLease {
  version: number;
  epoch: number;
  validUntilMs: number;
}

interface ObservedLease {
  version: number;
  firstSeenAtMs: number;
}

/** Renewals per ttl: two in a row may fail before the lease lapses. */
const RENEWALS_PER_TTL = 3;

export class TableLease {
  private held: HeldLease | undefined;
  private observed: ObservedLease | undefined;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  /** Settles with the last queued operation; operations never overlap. */
  private lastOperation: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: TableLeaseOptions) {}

  static create(options: TableLeaseOptions): TableLease {
    return new TableLease(options);
  }

  start(): void {
    const periodMs = this.options.ttlMs / RENEWALS_PER_TTL;
    this.timer = setInterval(() => this.scheduleStep(), periodMs);
    this.scheduleStep();
  }

  /** Stops, and releases the lease if it is held. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearInterval(this.timer);
    await this.runExclusive(() => this.release());
  }

  /** Whether this instance holds the lease now, by its own clock. */
  isHeld(): boolean {
    return (
      this.held !== undefined && performance.now() < this.held.validUntilMs
    );
  }

  /** Fencing token of the lease; undefined while it is not held. */
  epoch(): number | undefined {
    return this.isHeld() ? this.held?.epoch : undefined;
  }

  /**
   * Applies the operations that `plan` returns in one atomic batch with a
   * renewal of the lease, which fails if the lease row changed since before
   * `plan` started. Returns whether they took effect; false also when the lease
   * is not held or `plan` returns no operations.
   */
  runFenced(
    plan: () => Promise<Result<TableOperation[], PlatformError>>,
  ): Promise<Result<boolean, PlatformError>> {
    return this.runExclusive(async () => {
      const {held} = this;
      if (!held || !this.isHeld()) return Ok(false);
      const operations = await plan();
      if (operations.err) return operations;
      if (operations.val.length === 0 || !this.isHeld()) return Ok(false);
      return this.writeLease(held.version, held.epoch, operations.val);
    });
  }

  private scheduleStep(): void {
    const {name, logger} = this.options;
    this.runExclusive(() => this.acquireOrRenew()).catch((error: Error) => {
      logger.error('lease step failed', {lease: name, message: error.message});
    });
  }

  private runExclusive<T>(operation: () => Promise<T>): Promise<T> {
    const result = this.lastOperation.then(operation);
    this.lastOperation = result.catch(() => undefined);
    return result;
  }

  private async acquireOrRenew(): Promise<void> {
    if (this.stopped) return;
    if (this.held && this.isHeld()) {
      await this.writeLease(this.held.version, this.held.epoch, []);
      return;
    }
    this.held = undefined;
    const row = await this.options.table.get(this.key());
    if (row.err || this.stopped) return;
    if (this.canAcquire(row.val)) {
      const epoch = row.val ? leaseSchema.parse(row.val.value).epoch + 1 : 1;
      await this.writeLease(row.val?.version ?? 0, epoch, []);
    }
  }

  private canAcquire(row: TableRow | undefined): boolean {
    if (!row) return true;
    const lease = leaseSchema.parse(row.value);
    const {holderId, ttlMs} = this.options;
    // No other instance relies on this instance's own lapsed lease: no wait.
    if (lease.holder === '' || lease.holder === holderId) return true;
    if (this.observed?.version !== row.version) {
      this.observed = {version: row.version, firstSeenAtMs: performance.now()};
      return false;
    }
    const unchangedMs = performance.now() - this.observed.firstSeenAtMs;
    return unchangedMs >= Math.max(lease.ttlMs, ttlMs);
  }

  /** Acquires or renews the lease in one atomic batch with `operations`. */
  private async writeLease(
    ifVersion: number,
    epoch: number,
    operations: TableOperation[],
  ): Promise<Result<boolean, PlatformError>> {
    const {holderId, ttlMs, table} = this.options;
    const value: Lease = {
      holder: holderId,
      epoch,
      ttlMs,
      writerId: randomUUID(),
    };
    const validUntilMs = performance.now() + ttlMs;
    const put = {kind: 'put' as const, key: this.key(), ifVersion, value};
    const results = await table.batch([put, ...operations], {atomic: true});
    if (results.err) {
      if (results.val.kind === 'unavailable') return results;
      return this.resolveUnknownWrite(value, validUntilMs);
    }
    const [leaseResult] = results.val;
    if (leaseResult?.applied) {
      this.held = {version: leaseResult.version, epoch, validUntilMs};
      return Ok(true);
    }
    if (leaseResult?.current?.version !== ifVersion)
      this.handleRejectedWrite(leaseResult?.current, epoch);
    return Ok(false);
  }

  /**
   * Reads the row to find out whether a write with a lost response took effect.
   */
  private async resolveUnknownWrite(
    written: Lease,
    validUntilMs: number,
  ): Promise<Result<boolean, PlatformError>> {
    const row = await this.options.table.get(this.key());
    if (row.err) return row;
    if (!row.val) return Ok(false);
    const lease = leaseSchema.parse(row.val.value);
    if (lease.writerId !== written.writerId) {
      return Err({
        kind: 'outcome-unknown',
        message: 'lease write not found in the table',
      });
    }
    const {version} = row.val;
    this.held = {version, epoch: written.epoch, validUntilMs};
    return Ok(true);
  }

  private handleRejectedWrite(
    current: TableRow | undefined,
    epoch: number,
  ): void {
    const lease = current && leaseSchema.parse(current.value);
    const isOwn = lease?.holder === this.options.holderId;
    if (current && isOwn && lease.epoch === epoch && this.held) {
      // A renewal by this instance took effect after it had timed out.
      this.held.version = current.version;
      return;
    }
    if (this.held) {
      const fields = {lease: this.options.name, holder: lease?.holder};
      this.options.logger.info('lease lost', fields);
    }
    this.held = undefined;
  }

  private async release(): Promise<void> {
    const {held} = this;
    if (!held || !this.isHeld()) return;
    this.held = undefined;
    const {ttlMs, table} = this.options;
    const writerId = randomUUID();
    const value: Lease = {holder: '', epoch: held.epoch, ttlMs, writerId};
    const {version: ifVersion} = held;
    const put = {kind: 'put' as const, key: this.key(), ifVersion, value};
    await table.batch([put], {atomic: true});
  }

  private key(): string {
    return `lease/${this.options.name}`;
  }
}
