/** One instance's way to the table, with the planned faults of that way. */
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
const WAY_MS = 4;
/** The client's timeout; a call without an answer fails after it. */
const CLIENT_TIMEOUT_MS = 1000;

export class FaultyTable implements TableService {
  constructor(
    private readonly table: MemoryTable,
    private readonly gate: InstanceGate,
    /** The table fault that now affects this instance. */
    private readonly fault: () => PlannedFault | undefined,
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
    effect: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, PlatformError>> {
    await this.gate.pass();
    const answer = await this.exchange(effect);
    await this.gate.pass();
    return answer;
  }

  private async exchange<T>(
    effect: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, PlatformError>> {
    const fault = this.fault();
    const kind = fault?.kind;
    if (kind === 'table-refuses') {
      return Err({kind: 'unavailable', message: 'refused'});
    }
    if (kind === 'table-silent') return timeout();
    const effectDelayMs = kind === 'table-late' ? fault!.effectDelayMs : WAY_MS;
    const answerDelayMs =
      kind === 'table-answers-late' ? fault!.effectDelayMs : WAY_MS;
    const answer = sleep(effectDelayMs).then(effect);
    if (kind === 'table-loses-answers') return timeout();
    if (effectDelayMs + answerDelayMs > CLIENT_TIMEOUT_MS) return timeout();
    const result = await answer;
    await sleep(answerDelayMs);
    return result;
  }
}

async function timeout<T>(): Promise<Result<T, PlatformError>> {
  await sleep(CLIENT_TIMEOUT_MS);
  return Err({kind: 'outcome-unknown', message: 'timeout'});
}
