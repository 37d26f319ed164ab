/**
 * A lease in the table: at most one instance holds it at a time.
 *
 * The holder counts its time from before it sent its write; a taker counts
 * from when it saw the row unchanged for the row's ttl. Each on its own
 * monotonic clock, so the holder stops before a taker starts. Writes that must
 * not follow a loss of the lease go through `runFenced`.
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
  /** Empty when the lease was released. */
  holder: z.string(),
  /** Grows with each change of holder; the fencing token. */
  epoch: z.number().int().positive(),
  ttlMs: z.number().positive(),
  /** Unique for each write, to find the outcome of one whose response is lost. */
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
  seenAtMs: number;
}

/** Renewals per ttl: two may fail before the lease lapses. */
const STEPS_PER_TTL = 3;

export class TableLease {
  private held: HeldLease | undefined;
  private observed: ObservedLease | undefined;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;
  /** Ends with the last started step: steps never overlap. */
  private lastStep: Promise<unknown> = Promise.resolve();

  private constructor(private readonly options: TableLeaseOptions) {}

  static create(options: TableLeaseOptions): TableLease {
    return new TableLease(options);
  }

  start(): void {
    const periodMs = this.options.ttlMs / STEPS_PER_TTL;
    this.timer = setInterval(() => this.startStep(), periodMs);
    this.startStep();
  }

  /** Stops and, if the lease is held, releases it for the next taker. */
  async stop(): Promise<void> {
    this.stopped = true;
    clearInterval(this.timer);
    await this.inTurn(() => this.release());
  }

  /** Whether the lease is held at this moment by this instance's clock. */
  isHeld(): boolean {
    return (
      this.held !== undefined && performance.now() < this.held.validUntilMs
    );
  }

  /** Fencing token of the lease that is held. */
  epoch(): number | undefined {
    return this.isHeld() ? this.held?.epoch : undefined;
  }

  /**
   * Plans operations from fresh reads and applies them all or none, together
   * with a renewal: they take effect only while the row is still the one that
   * was current before `plan` started. Returns whether they took effect.
   */
  runFenced(
    plan: () => Promise<Result<TableOperation[], PlatformError>>,
  ): Promise<Result<boolean, PlatformError>> {
    return this.inTurn(async () => {
      const {held} = this;
      if (!held || !this.isHeld()) return Ok(false);
      const operations = await plan();
      if (operations.err) return operations;
      if (operations.val.length === 0 || !this.isHeld()) return Ok(false);
      return this.write(held.version, held.epoch, operations.val);
    });
  }

  private startStep(): void {
    const {name, logger} = this.options;
    this.inTurn(() => this.step()).catch((error: Error) => {
      logger.error('lease step failed', {lease: name, message: error.message});
    });
  }

  private inTurn<T>(step: () => Promise<T>): Promise<T> {
    const result = this.lastStep.then(step);
    this.lastStep = result.catch(() => undefined);
    return result;
  }

  private async step(): Promise<void> {
    if (this.stopped) return;
    if (this.held && this.isHeld()) {
      await this.write(this.held.version, this.held.epoch, []);
      return;
    }
    this.held = undefined;
    const row = await this.options.table.get(this.key());
    if (row.err || this.stopped) return;
    if (this.mayTake(row.val)) {
      const epoch = row.val ? leaseSchema.parse(row.val.value).epoch + 1 : 1;
      await this.write(row.val?.version ?? 0, epoch, []);
    }
  }

  private mayTake(row: TableRow | undefined): boolean {
    if (!row) return true;
    const lease = leaseSchema.parse(row.value);
    const {holderId, ttlMs} = this.options;
    // The own lapsed lease may be taken at once: no other instance relies on it.
    if (lease.holder === '' || lease.holder === holderId) return true;
    if (this.observed?.version !== row.version) {
      this.observed = {version: row.version, seenAtMs: performance.now()};
      return false;
    }
    const unchangedMs = performance.now() - this.observed.seenAtMs;
    return unchangedMs >= Math.max(lease.ttlMs, ttlMs);
  }

  /** Takes or renews the lease; the operations apply only with it. */
  private async write(
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
      return this.resolve(value, validUntilMs);
    }
    const [own] = results.val;
    if (own?.applied) {
      this.held = {version: own.version, epoch, validUntilMs};
      return Ok(true);
    }
    if (own?.current?.version !== ifVersion) this.lose(own?.current, epoch);
    return Ok(false);
  }

  /** Finds the outcome of a write whose response was lost. */
  private async resolve(
    written: Lease,
    validUntilMs: number,
  ): Promise<Result<boolean, PlatformError>> {
    const row = await this.options.table.get(this.key());
    if (row.err) return row;
    if (!row.val) return Ok(false);
    const lease = leaseSchema.parse(row.val.value);
    if (lease.writerId !== written.writerId) {
      return Err({kind: 'outcome-unknown', message: 'lease write not seen'});
    }
    const {version} = row.val;
    this.held = {version, epoch: written.epoch, validUntilMs};
    return Ok(true);
  }

  private lose(current: TableRow | undefined, epoch: number): void {
    const lease = current && leaseSchema.parse(current.value);
    const own = lease?.holder === this.options.holderId;
    if (current && own && lease.epoch === epoch && this.held) {
      // An own renewal took effect after the wait for its response had timed out.
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
