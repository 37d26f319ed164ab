/**
 * Collects table operations for a few milliseconds and sends them as one
 * non-atomic batch, because the table takes only several hundred writes/s.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {
  PlatformError,
  TableOperation,
  TableOperationResult,
  TableService,
} from '@fireflytrack/platform';

export interface OperationGroupOptions {
  table: TableService;
  maxOperations: number;
}

type OperationOutcome = Result<TableOperationResult, PlatformError>;

interface WaitingOperation {
  operation: TableOperation;
  settle(outcome: OperationOutcome): void;
}

const GROUP_MS = 5;

export class OperationGroup {
  private waiting: WaitingOperation[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly options: OperationGroupOptions) {}

  static create(options: OperationGroupOptions): OperationGroup {
    return new OperationGroup(options);
  }

  apply(operation: TableOperation): Promise<OperationOutcome> {
    return new Promise(settle => {
      this.waiting.push({operation, settle});
      if (this.waiting.length >= this.options.maxOperations) {
        void this.flush();
      } else {
        this.timer ??= setTimeout(() => void this.flush(), GROUP_MS);
      }
    });
  }

  private async flush(): Promise<void> {
    clearTimeout(this.timer);
    this.timer = undefined;
    const group = this.waiting;
    this.waiting = [];
    const operations = group.map(one => one.operation);
    const results = await this.options.table.batch(operations, {atomic: false});
    group.forEach((one, index) => {
      if (results.err) return one.settle(results);
      const result = results.val[index];
      if (result) return one.settle(Ok(result));
      const message = 'the batch response lacks an operation';
      return one.settle(Err({kind: 'outcome-unknown', message}));
    });
  }
}
