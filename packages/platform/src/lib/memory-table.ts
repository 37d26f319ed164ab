/**
 * In-memory table service with fault injection. The platform stand-in stores
 * its rows in one, and tests use it directly.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {platformError} from './platform-error.js';
import type {PlatformError} from './platform-error.js';
import type {
  BatchOptions,
  TableOperation,
  TableOperationResult,
  TableRow,
  TableService,
} from './table-service.js';

export class MemoryTable implements TableService {
  /** When true, every call fails without effect. */
  unavailable = false;
  /** Number of next batches that take effect but return `outcome-unknown`. */
  lostAnswers = 0;
  /** Delay of each call; with 0 calls complete without a timer. */
  delayMs = 0;
  /** Number of calls so far by operation, for capacity measurements. */
  readonly calls = {get: 0, scan: 0, batch: 0};
  era = 0;
  private rows = new Map<string, TableRow>();

  static create(): MemoryTable {
    return new MemoryTable();
  }

  /** A copy of the rows, for `restore`. */
  copyRows(): TableRow[] {
    return structuredClone([...this.rows.values()]);
  }

  /** Returns from an older copy: later writes are lost. */
  restore(rows: readonly TableRow[]): void {
    this.era += 1;
    this.rows = new Map(rows.map(row => [row.key, structuredClone(row)]));
  }

  async get(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    this.calls.get += 1;
    await this.delay();
    if (this.unavailable) return this.unavailableResult();
    return Ok(structuredClone(this.rows.get(key)));
  }

  async scan(
    prefix: string,
    limit: number,
  ): Promise<Result<TableRow[], PlatformError>> {
    this.calls.scan += 1;
    await this.delay();
    if (this.unavailable) return this.unavailableResult();
    const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix));
    keys.sort();
    const matches = keys.slice(0, limit).map(key => this.rows.get(key)!);
    return Ok(structuredClone(matches));
  }

  async batch(
    operations: TableOperation[],
    options: BatchOptions,
  ): Promise<Result<TableOperationResult[], PlatformError>> {
    this.calls.batch += 1;
    await this.delay();
    if (this.unavailable) return this.unavailableResult();
    const results = options.atomic
      ? this.applyAtomically(operations)
      : operations.map(operation => this.apply(operation));
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      return Err(platformError('outcome-unknown', 'response lost'));
    }
    return Ok(structuredClone(results));
  }

  private applyAtomically(operations: TableOperation[]) {
    const allConditionsHold = operations.every(operation =>
      this.conditionHolds(operation),
    );
    if (allConditionsHold)
      return operations.map(operation => this.apply(operation));
    return operations.map(operation => ({
      applied: false as const,
      current: this.rows.get(operation.key),
    }));
  }

  private conditionHolds(operation: TableOperation): boolean {
    return (this.rows.get(operation.key)?.version ?? 0) === operation.ifVersion;
  }

  private apply(operation: TableOperation): TableOperationResult {
    if (!this.conditionHolds(operation)) {
      return {applied: false, current: this.rows.get(operation.key)};
    }
    if (operation.kind === 'delete') {
      this.rows.delete(operation.key);
      return {applied: true, version: 0};
    }
    const version = operation.ifVersion + 1;
    const value = structuredClone(operation.value);
    this.rows.set(operation.key, {key: operation.key, version, value});
    return {applied: true, version};
  }

  private unavailableResult() {
    return Err(platformError('unavailable', 'table service unavailable'));
  }

  private async delay(): Promise<void> {
    if (this.delayMs <= 0) return;
    await new Promise(resolve => setTimeout(resolve, this.delayMs));
  }
}
