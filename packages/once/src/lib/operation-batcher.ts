/**
 * Collects table operations for a few milliseconds and sends them as one
 * non-atomic batch, because the table allows only several hundred writes/s.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {
  PlatformError,
  TableOperation,
  TableOperationResult,
  TableService,
} from '@fireflytrack/platform';

export interface OperationBatcherOptions {
  table: TableService;
  maxOperations: number;
}

type OperationOutcome = Result<TableOperationResult, PlatformError>;

interface QueuedOperation {
  operation: TableOperation;
  resolve(outcome: OperationOutcome): void;
}

const BATCH_DELAY_MS = 5;

export class OperationBatcher {
  private queue: QueuedOperation[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: OperationBatcherOptions) {}

  static create(options: OperationBatcherOptions): OperationBatcher {
    return new OperationBatcher(options);
  }

  apply(operation: TableOperation): Promise<OperationOutcome> {
    return new Promise(resolve => {
      this.queue.push({operation, resolve});
      if (this.queue.length >= this.options.maxOperations) {
        void this.flush();
      } else {
        this.timer ??= setTimeout(() => void this.flush(), BATCH_DELAY_MS);
      }
    });
  }

  private async flush(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    const queued = this.queue;
    this.queue = [];
    const operations = queued.map(entry => entry.operation);
    const results = await this.options.table.batch(operations, {atomic: false});
    queued.forEach((entry, index) => {
      if (results.err) return entry.resolve(results);
      const result = results.val[index];
      if (result) return entry.resolve(Ok(result));
      const message = 'the batch answer misses an operation';
      return entry.resolve(Err({kind: 'outcome-unknown', message}));
    });
  }
}
