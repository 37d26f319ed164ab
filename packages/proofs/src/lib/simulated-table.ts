/**
 * A process's connection to the shared table: calls take time before and after
 * their effect, and a write without an answer may take effect much later.
 */
import {Err} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {platformError} from '@fireflytrack/platform';
import type {
  BatchOptions,
  MemoryTable,
  PlatformError,
  TableOperation,
  TableOperationResult,
  TableRow,
  TableService,
} from '@fireflytrack/platform';
import {sleep} from '@fireflytrack/time';
import {between} from './limits-random.js';
import type {Random} from './limits-random.js';
import {SimulatedProcess} from './simulated-process.js';

/** Changed by the fleet while it runs. */
export interface TableFaults {
  /** Writes from now on whose answer is lost and whose effect comes late. */
  lateWrites: number;
  /** Longest time until a late write takes effect. */
  lateByMs: number;
}

const MIN_LEG_MS = 0.5;
const MAX_LEG_MS = 10;
const LOST_ANSWER_TIMEOUT_MS = 50;

export class SimulatedTable implements TableService {
  private constructor(
    private readonly process: SimulatedProcess,
    private readonly table: MemoryTable,
    private readonly faults: TableFaults,
    private readonly random: Random,
  ) {}

  static create(
    process: SimulatedProcess,
    table: MemoryTable,
    faults: TableFaults,
    random: Random,
  ): SimulatedTable {
    return new SimulatedTable(process, table, faults, random);
  }

  get(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    return this.call(() => this.table.get(key));
  }

  scan(
    prefix: string,
    limit: number,
  ): Promise<Result<TableRow[], PlatformError>> {
    return this.call(() => this.table.scan(prefix, limit));
  }

  batch(
    operations: TableOperation[],
    options: BatchOptions,
  ): Promise<Result<TableOperationResult[], PlatformError>> {
    const copy = structuredClone(operations);
    return this.call(async () => {
      if (this.faults.lateWrites <= 0) return this.table.batch(copy, options);
      this.faults.lateWrites -= 1;
      const lateByMs = between(this.random, 0, this.faults.lateByMs);
      setTimeout(() => void this.table.batch(copy, options), lateByMs);
      await sleep(LOST_ANSWER_TIMEOUT_MS);
      return Err(platformError('outcome-unknown', 'answer lost'));
    });
  }

  private call<T>(action: () => Promise<T>): Promise<T> {
    const answer = SimulatedProcess.outside(async () => {
      await sleep(between(this.random, MIN_LEG_MS, MAX_LEG_MS));
      const result = await action();
      await sleep(between(this.random, MIN_LEG_MS, MAX_LEG_MS));
      return result;
    });
    return this.process.receive(answer);
  }
}
