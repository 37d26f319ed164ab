/**
 * A table service held in memory, with faults on request: the state behind the
 * platform stand-in and the small fake that the failure tests use.
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
  /** Every call fails without effect while set. */
  unavailable = false;
  /** The next writes take effect but their answers are lost. */
  lostAnswers = 0;
  /** Time each call takes, in milliseconds; 0 answers in the next microtask. */
  delayMs = 0;
  /** Numbers of calls so far, for capacity measurements. */
  readonly calls = {get: 0, scan: 0, batch: 0};
  private readonly rows = new Map<string, TableRow>();

  static create(): MemoryTable {
    return new MemoryTable();
  }

  async get(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    this.calls.get += 1;
    await this.delay();
    if (this.unavailable) return this.failure();
    return Ok(structuredClone(this.rows.get(key)));
  }

  async scan(
    prefix: string,
    limit: number,
  ): Promise<Result<TableRow[], PlatformError>> {
    this.calls.scan += 1;
    await this.delay();
    if (this.unavailable) return this.failure();
    const keys = [...this.rows.keys()].filter(key => key.startsWith(prefix));
    keys.sort();
    const found = keys.slice(0, limit).map(key => this.rows.get(key)!);
    return Ok(structuredClone(found));
  }

  async batch(
    operations: TableOperation[],
    options: BatchOptions,
  ): Promise<Result<TableOperationResult[], PlatformError>> {
    this.calls.batch += 1;
    await this.delay();
    if (this.unavailable) return this.failure();
    const results = options.atomic
      ? this.applyAtomically(operations)
      : operations.map(operation => this.apply(operation));
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      return Err(platformError('outcome-unknown', 'answer lost'));
    }
    return Ok(structuredClone(results));
  }

  private applyAtomically(operations: TableOperation[]) {
    const allHold = operations.every(operation => this.holds(operation));
    if (allHold) return operations.map(operation => this.apply(operation));
    return operations.map(operation => ({
      applied: false as const,
      current: this.rows.get(operation.key),
    }));
  }

  private holds(operation: TableOperation): boolean {
    return (this.rows.get(operation.key)?.version ?? 0) === operation.ifVersion;
  }

  private apply(operation: TableOperation): TableOperationResult {
    if (!this.holds(operation)) {
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

  private failure() {
    return Err(platformError('unavailable', 'table service unavailable'));
  }

  private async delay(): Promise<void> {
    if (this.delayMs <= 0) return;
    await new Promise(resolve => setTimeout(resolve, this.delayMs));
  }
}
