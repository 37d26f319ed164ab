/**
 * A table whose changes a simulated fleet follows, and the links of instances to
 * it. Time is the runtime's clock, which tests advance.
 */
import type {
  ChangeFeed,
  FeedError,
  FeedPage,
  FeedPosition,
} from '@fireflytrack/discovery';
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';

/** How a link to the table behaves. */
export const LINK_FAULTS = ['silent', 'refused', 'reset', 'slow'] as const;
export type LinkFault = (typeof LINK_FAULTS)[number];

export interface TableCall {
  /** Instance that made it. */
  caller: string;
  atMs: number;
}

export interface TableChange {
  revision: number;
  acknowledgedAtMs: number;
}

const ROW_KEYS = 8;
const RESPONSE_MS = 6;
// What a slow table takes for a response.
const SLOW_RESPONSE_MS = 240;
// The client of the table gives a call up this long after its wait.
const CALL_TIMEOUT_MS = 600;

export class FeedTable {
  readonly changes: TableChange[] = [];
  readonly calls: TableCall[] = [];
  private readonly rows = new Map<string, {item: string; revision: number}>();
  private revision = 1;
  private historySince = 0;
  private readonly waiting = new Set<() => void>();

  static create(): FeedTable {
    return new FeedTable();
  }

  /** Changes a row, whose item is the revision. */
  change(): void {
    this.revision += 1;
    const {revision} = this;
    const key = `row-${revision % ROW_KEYS}`;
    this.rows.set(key, {item: String(revision), revision});
    this.changes.push({revision, acknowledgedAtMs: performance.now()});
    for (const wake of [...this.waiting]) wake();
  }

  /** From now on, changes up to the present are not available any more. */
  dropHistory(): void {
    this.historySince = this.revision;
  }

  createLink(caller: string): TableLink {
    return TableLink.create(this, caller);
  }

  /** Returns undefined if the history was dropped. */
  readAfter(after: number): FeedPage<string> | undefined {
    if (after >= 0 && after < this.historySince) return undefined;
    const changed = [...this.rows].filter(([, row]) => row.revision > after);
    return {
      rows: changed.map(([key, {item}]) => ({key, item})),
      position: {era: 0, revision: this.revision},
      confirmedOffsetMs: 0,
    };
  }

  /** Resolves at a change after `after`, or once `waitMs` have passed. */
  waitForChange(after: number, waitMs: number): Promise<void> {
    if (this.revision > after) return Promise.resolve();
    return new Promise(resolve => {
      const wake = () => {
        clearTimeout(timer);
        this.waiting.delete(wake);
        resolve();
      };
      const timer = setTimeout(wake, waitMs);
      this.waiting.add(wake);
    });
  }
}

/** The link of one instance to the table. */
export class TableLink implements ChangeFeed<string> {
  private currentFault: LinkFault | undefined;
  /** Fail the calls under way. */
  private readonly pending = new Set<(error: FeedError) => void>();

  private constructor(
    private readonly table: FeedTable,
    private readonly caller: string,
  ) {}

  static create(table: FeedTable, caller: string): TableLink {
    return new TableLink(table, caller);
  }

  get fault(): LinkFault | undefined {
    return this.currentFault;
  }

  set fault(fault: LinkFault | undefined) {
    this.currentFault = fault;
    if (fault !== 'reset') return;
    for (const fail of [...this.pending]) fail(unavailable('reset'));
  }

  /** Whether calls have no effect. */
  get isCut(): boolean {
    return this.fault !== undefined && this.fault !== 'slow';
  }

  readAll(): Promise<Result<FeedPage<string>, FeedError>> {
    return this.call(-1, 0);
  }

  changesAfter(
    {revision}: FeedPosition,
    waitMs: number,
  ): Promise<Result<FeedPage<string>, FeedError>> {
    return this.call(revision, waitMs);
  }

  async close(): Promise<void> {}

  private async call(
    after: number,
    waitMs: number,
  ): Promise<Result<FeedPage<string>, FeedError>> {
    const {caller} = this;
    this.table.calls.push({caller, atMs: performance.now()});
    if (this.fault === 'refused' || this.fault === 'reset') {
      await delay(RESPONSE_MS);
      return Err(unavailable(this.fault ?? 'healed'));
    }
    return new Promise(resolve => {
      const settle = (result: Result<FeedPage<string>, FeedError>) => {
        clearTimeout(timer);
        this.pending.delete(fail);
        resolve(result);
      };
      const fail = (error: FeedError) => settle(Err(error));
      const timeoutMs = waitMs + CALL_TIMEOUT_MS;
      const timer = setTimeout(() => fail(unavailable('timeout')), timeoutMs);
      this.pending.add(fail);
      void this.respond(after, waitMs).then(result => result && settle(result));
    });
  }

  /** Returns undefined if the response is lost. */
  private async respond(
    after: number,
    waitMs: number,
  ): Promise<Result<FeedPage<string>, FeedError> | undefined> {
    await delay(this.responseMs / 2);
    if (this.isCut) return undefined;
    const arrivedAtMs = performance.now();
    await this.table.waitForChange(after, waitMs);
    const page = this.table.readAfter(after);
    const waitedMs = performance.now() - arrivedAtMs;
    if (this.isCut) return undefined;
    await delay(this.responseMs / 2);
    if (this.isCut) return undefined;
    if (!page) return Err({kind: 'history-gone', message: 'dropped'});
    const waited = page.rows.length === 0 && waitedMs >= waitMs;
    return Ok({...page, confirmedOffsetMs: waited ? waitMs : 0});
  }

  private get responseMs(): number {
    return this.fault === 'slow' ? SLOW_RESPONSE_MS : RESPONSE_MS;
  }
}

function unavailable(message: string): FeedError {
  return {kind: 'unavailable', message};
}

function delay(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}
