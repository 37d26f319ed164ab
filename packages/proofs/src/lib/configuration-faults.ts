/**
 * Faults between one instance and its surroundings: cuts to and from the store,
 * late and old answers, and pauses.
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

/** Holds up everything that reaches a paused instance until it resumes. */
export class PauseGate {
  private resumeWaiters: (() => void)[] = [];
  paused = false;

  static create(): PauseGate {
    return new PauseGate();
  }

  async passed(): Promise<void> {
    if (!this.paused) return;
    await new Promise<void>(resolve => this.resumeWaiters.push(resolve));
  }

  resume(): void {
    this.paused = false;
    const waiters = this.resumeWaiters;
    this.resumeWaiters = [];
    for (const waiter of waiters) waiter();
  }
}

/** Remembers every state of the rows, for stale reads and for checkers. */
export class JournaledTable {
  private readonly journal = new Map<
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
      const row = await this.peek(key);
      const states = this.journal.get(key) ?? [];
      states.push({atMs: performance.now(), row});
      this.journal.set(key, states);
    }
    return result;
  }

  rowBefore(key: string, atMs: number): TableRow | undefined {
    const states = this.journal.get(key) ?? [];
    return states.findLast(state => state.atMs <= atMs)?.row;
  }

  /** States of a row in the order in which they were written. */
  states(key: string): readonly {atMs: number; row: TableRow | undefined}[] {
    return this.journal.get(key) ?? [];
  }

  private async peek(key: string): Promise<TableRow | undefined> {
    const {unavailable, delayMs} = this.table;
    Object.assign(this.table, {unavailable: false, delayMs: 0});
    const row = await this.table.get(key);
    Object.assign(this.table, {unavailable, delayMs});
    return row.unwrap();
  }
}

/** The table as one instance reaches it. */
export class InstanceTable implements TableService {
  /** Causes for which requests do not reach the table. */
  readonly requestCuts = new Set<string>();
  /** Causes for which requests take effect, but no answer comes back. */
  readonly answerCuts = new Set<string>();
  /** Reads show the state of so long ago. */
  staleMs = 0;
  /** Answers come back so late. */
  answerDelayMs = 0;

  private constructor(
    private readonly shared: JournaledTable,
    private readonly gate: PauseGate,
  ) {}

  static create(shared: JournaledTable, gate: PauseGate): InstanceTable {
    return new InstanceTable(shared, gate);
  }

  get(key: string): Promise<Result<TableRow | undefined, PlatformError>> {
    return this.pass(async () => {
      const row = await this.shared.table.get(key);
      if (this.staleMs === 0) return row;
      const atMs = performance.now() - this.staleMs;
      return row.map(() => this.shared.rowBefore(key, atMs));
    });
  }

  scan(prefix: string, limit: number) {
    return this.pass(() => this.shared.table.scan(prefix, limit));
  }

  batch(operations: TableOperation[], options: BatchOptions) {
    return this.pass(() => this.shared.batch(operations, options));
  }

  private async pass<T>(
    action: () => Promise<Result<T, PlatformError>>,
  ): Promise<Result<T, PlatformError>> {
    await this.gate.passed();
    if (this.requestCuts.size > 0) return this.timeout();
    const result = await action();
    if (this.answerCuts.size > 0) return this.timeout();
    if (this.answerDelayMs > 0) await sleep(this.answerDelayMs);
    await this.gate.passed();
    return result;
  }

  private async timeout() {
    await sleep(STORE_TIMEOUT_MS);
    await this.gate.passed();
    return Err(platformError('outcome-unknown', 'no answer from the table'));
  }
}

/** A peer network that neither sends nor delivers while its owner is paused. */
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
      await gate.passed();
      const answer = await inner.request(instanceId, kind, payload, timeoutMs);
      await gate.passed();
      return answer;
    },
    onMessage: (kind: string, handler: MessageHandler) =>
      inner.onMessage(kind, (from, payload) => {
        if (!gate.paused) handler(from, payload);
        else void gate.passed().then(() => handler(from, payload));
      }),
    onRequest: (kind: string, handler: RequestHandler) =>
      inner.onRequest(kind, async (from, payload) => {
        await gate.passed();
        return handler(from, payload);
      }),
  };
}
