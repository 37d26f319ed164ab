/** The table as one instance reaches it, with the planned faults. */
import {Err} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {
  BatchOptions,
  MemoryTable,
  PlatformError,
  TableOperation,
  TableService,
} from '@fireflytrack/platform';
import {sleep} from '@fireflytrack/time';
import type {InstanceGate} from './once-instance-gate.js';
import type {PlannedFault} from './once-plan.js';

/** One-way latency between an instance and the table. */
const ONE_WAY_LATENCY_MS = 4;
/** A call without a response fails after this client timeout. */
const CLIENT_TIMEOUT_MS = 1000;

export class FaultyTable implements TableService {
  constructor(
    private readonly table: MemoryTable,
    private readonly gate: InstanceGate,
    /** Returns the table fault that currently affects this instance. */
    private readonly currentFault: () => PlannedFault | undefined,
  ) {}

  get(key: string) {
    return this.call(() => this.table.get(key));
  }

  scan(prefix: string, limit: number) {
    return this.call(() => this.table.scan(prefix, limit));
  }

  batch(operations: TableOperation[], options: BatchOptions) {
    return this.call(() => this.table.batch(operations, options));
  }

  private async call<T>(
    operation: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, PlatformError>> {
    await this.gate.waitUntilRunning();
    const result = await this.callTable(operation);
    await this.gate.waitUntilRunning();
    return result;
  }

  private async callTable<T>(
    operation: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, PlatformError>> {
    const fault = this.currentFault();
    const kind = fault?.kind;
    if (kind === 'table-refuses') {
      return Err({kind: 'unavailable', message: 'refused'});
    }
    if (kind === 'table-silent') return timeOut();
    const effectDelayMs =
      kind === 'table-late' ? fault!.effectDelayMs : ONE_WAY_LATENCY_MS;
    const responseDelayMs =
      kind === 'table-answers-late' ? fault!.effectDelayMs : ONE_WAY_LATENCY_MS;
    const response = sleep(effectDelayMs).then(operation);
    if (kind === 'table-loses-answers') return timeOut();
    if (effectDelayMs + responseDelayMs > CLIENT_TIMEOUT_MS) return timeOut();
    const result = await response;
    await sleep(responseDelayMs);
    return result;
  }
}

/** Waits for the client timeout and returns its error. */
async function timeOut<T>(): Promise<Result<T, PlatformError>> {
  await sleep(CLIENT_TIMEOUT_MS);
  return Err({kind: 'outcome-unknown', message: 'timeout'});
}
