/**
 * Faults of one instance: lost requests to and responses from the store, late
 * responses, stale reads and pauses.
 */
import {Err} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import {platformError} from '@fireflytrack/platform';
import type {
  BatchOptions,
  MemoryTable,
  PlatformError,
  TableOperation,
  TableRow,
  TableService,
} from '@fireflytrack/platform';
import type {
  MessageHandler,
  PeerNetwork,
  RequestHandler,
} from '@fireflytrack/wire';
import {sleep} from '@fireflytrack/time';

const STORE_TIMEOUT_MS = 1000;

/** Delays everything that reaches a paused instance until it resumes. */
export class PauseGate {
  private resumeCallbacks: (() => void)[] = [];
  paused = false;

  static create(): PauseGate {
    return new PauseGate();
  }

  async waitUntilResumed(): Promise<void> {
    if (!this.paused) return;
    await new Promise<void>(resolve => this.resumeCallbacks.push(resolve));
  }

  resume(): void {
    this.paused = false;
    const callbacks = this.resumeCallbacks;
    this.resumeCallbacks = [];
    for (const callback of callbacks) callback();
  }
}

/** Records every state of the rows for stale reads and for the checkers. */
export class JournaledTable {
  private readonly statesByKey = new Map<
    string,
    {atMs: number; row: TableRow | undefined}[]
  >();

  private constructor(readonly table: MemoryTable) {}

  static create(table: MemoryTable): JournaledTable {
    return new JournaledTable(table);
  }

  async batch(operations: TableOperation[], options: BatchOptions) {
    const result = await this.table.batch(operations, options);
    for (const {key} of operations) {
      const row = await this.readWithoutFaults(key);
      const states = this.statesByKey.get(key) ?? [];
      states.push({atMs: performance.now(), row});
      this.statesByKey.set(key, states);
    }
    return result;
  }

  /** Returns the row as it was at `atMs`, or undefined if it did not exist. */
  findRowAt(key: string, atMs: number): TableRow | undefined {
    const states = this.statesByKey.get(key) ?? [];
    return states.findLast(state => state.atMs <= atMs)?.row;
  }

  /** Returns the states of a row in the order in which they were written. */
  rowStates(key: string): readonly {atMs: number; row: TableRow | undefined}[] {
    return this.statesByKey.get(key) ?? [];
  }

  private async readWithoutFaults(key: string): Promise<TableRow | undefined> {
    const {unavailable, delayMs} = this.table;
    Object.assign(this.table, {unavailable: false, delayMs: 0});
    const row = await this.table.get(key);
    Object.assign(this.table, {unavailable, delayMs});
    return row.unwrap();
  }
}

/** The table as one instance reaches it. */
export class InstanceTable implements TableService {
  /** Active faults due to which requests do not reach the table. */
  readonly requestBlocks = new Set<string>();
  /** Active faults due to which requests take effect but get no response. */
  readonly responseBlocks = new Set<string>();
  /** Reads return the state of this long ago; 0 for the current state. */
  readAgeMs = 0;
  /** Additional delay of each response. */
  responseDelayMs = 0;

  private constructor(
    private readonly sharedTable: JournaledTable,
    private readonly gate: PauseGate,
  ) {}

  static create(sharedTable: JournaledTable, gate: PauseGate): InstanceTable {
    return new InstanceTable(sharedTable, gate);
  }

  get(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    return this.call(async () => {
      const row = await this.sharedTable.table.get(key);
      if (this.readAgeMs === 0) return row;
      const atMs = performance.now() - this.readAgeMs;
      return row.map(() => this.sharedTable.findRowAt(key, atMs));
    });
  }

  scan(prefix: string, limit: number) {
    return this.call(() => this.sharedTable.table.scan(prefix, limit));
  }

  batch(operations: TableOperation[], options: BatchOptions) {
    return this.call(() => this.sharedTable.batch(operations, options));
  }

  private async call<T>(
    action: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, PlatformError>> {
    await this.gate.waitUntilResumed();
    if (this.requestBlocks.size > 0) return this.failAfterTimeout();
    const result = await action();
    if (this.responseBlocks.size > 0) return this.failAfterTimeout();
    if (this.responseDelayMs > 0) await sleep(this.responseDelayMs);
    await this.gate.waitUntilResumed();
    return result;
  }

  private async failAfterTimeout() {
    await sleep(STORE_TIMEOUT_MS);
    await this.gate.waitUntilResumed();
    return Err(platformError('outcome-unknown', 'no response from the table'));
  }
}

/** A peer network that neither sends nor delivers while the gate is paused. */
export function pausableNetwork(
  inner: PeerNetwork,
  gate: PauseGate,
): PeerNetwork {
  return {
    self: inner.self,
    peers: () => inner.peers(),
    send: (instanceId, kind, payload) => {
      if (!gate.paused) inner.send(instanceId, kind, payload);
    },
    broadcast: (kind, payload) => {
      if (!gate.paused) inner.broadcast(kind, payload);
    },
    request: async (instanceId, kind, payload, timeoutMs) => {
      await gate.waitUntilResumed();
      const response = await inner.request(
        instanceId,
        kind,
        payload,
        timeoutMs,
      );
      await gate.waitUntilResumed();
      return response;
    },
    onMessage: (kind: string, handler: MessageHandler) =>
      inner.onMessage(kind, (from, payload) => {
        if (!gate.paused) handler(from, payload);
        else void gate.waitUntilResumed().then(() => handler(from, payload));
      }),
    onRequest: (kind: string, handler: RequestHandler) =>
      inner.onRequest(kind, async (from, payload) => {
        await gate.waitUntilResumed();
        return handler(from, payload);
      }),
  };
}
