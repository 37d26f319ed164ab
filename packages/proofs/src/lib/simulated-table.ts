/**
 * One process's connection to the shared table. Calls are delayed before and
 * after they take effect; a write whose reply is lost may take effect later.
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
import {randomBetween} from './limits-random.js';
import type {Random} from './limits-random.js';
import {SimulatedProcess} from './simulated-process.js';

/** Table faults in effect; the fleet changes them during a run. */
export interface TableFaults {
  /** Number of next writes whose reply is lost and whose effect is delayed. */
  lateWrites: number;
  /** Longest time until such a write takes effect. */
  maxDelayMs: number;
}

const MIN_ONE_WAY_DELAY_MS = 0.5;
const MAX_ONE_WAY_DELAY_MS = 10;
const LOST_REPLY_TIMEOUT_MS = 50;

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
    return this.callWithDelays(() => this.table.get(key));
  }

  scan(
    prefix: string,
    limit: number,
  ): Promise<Result<TableRow[], PlatformError>> {
    return this.callWithDelays(() => this.table.scan(prefix, limit));
  }

  batch(
    operations: TableOperation[],
    options: BatchOptions,
  ): Promise<Result<TableOperationResult[], PlatformError>> {
    const operationsCopy = structuredClone(operations);
    return this.callWithDelays(async () => {
      if (this.faults.lateWrites <= 0)
        return this.table.batch(operationsCopy, options);
      this.faults.lateWrites -= 1;
      const delayMs = randomBetween(this.random, 0, this.faults.maxDelayMs);
      setTimeout(() => void this.table.batch(operationsCopy, options), delayMs);
      await sleep(LOST_REPLY_TIMEOUT_MS);
      return Err(platformError('outcome-unknown', 'reply lost'));
    });
  }

  private callWithDelays<T>(action: () => Promise<T>): Promise<T> {
    const response = SimulatedProcess.runOutside(async () => {
      await sleep(
        randomBetween(this.random, MIN_ONE_WAY_DELAY_MS, MAX_ONE_WAY_DELAY_MS),
      );
      const result = await action();
      await sleep(
        randomBetween(this.random, MIN_ONE_WAY_DELAY_MS, MAX_ONE_WAY_DELAY_MS),
      );
      return result;
    });
    return this.process.deliver(response);
  }
}
