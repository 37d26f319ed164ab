/**
 * Log of frequent decisions with a rate limit for each kind of line. Lines over
 * the limit are omitted, and their count is logged instead.
 */
import type {Logger} from './logger.js';

export interface RateLimitedLogOptions {
  logger: Logger;
  /** Limit on lines of one kind per second. */
  linesPerSecond: number;
}

type Level = 'info' | 'warn' | 'error';

interface KindState {
  secondStartMs: number;
  lines: number;
  leftOut: number;
}

const SECOND_MS = 1000;

export class RateLimitedLog {
  private readonly kinds = new Map<string, KindState>();

  linesPerSecond: number;

  private constructor(private readonly options: RateLimitedLogOptions) {
    this.linesPerSecond = options.linesPerSecond;
  }

  static create(options: RateLimitedLogOptions): RateLimitedLog {
    return new RateLimitedLog(options);
  }

  /** Logs a line; `kind` is its message and the unit of the rate limit. */
  write(level: Level, kind: string, fields: Record<string, unknown>): void {
    const state = this.getOrCreateState(kind);
    const nowMs = performance.now();
    if (nowMs - state.secondStartMs >= SECOND_MS) {
      this.logLeftOut(kind, state);
      state.secondStartMs = nowMs;
      state.lines = 0;
    }
    if (state.lines >= this.linesPerSecond) {
      state.leftOut += 1;
      return;
    }
    state.lines += 1;
    this.options.logger.log(level, kind, fields);
  }

  /** Logs the counts of omitted lines; called when the process stops. */
  flush(): void {
    for (const [kind, state] of this.kinds) this.logLeftOut(kind, state);
  }

  private logLeftOut(kind: string, state: KindState): void {
    if (state.leftOut === 0) return;
    const {leftOut} = state;
    state.leftOut = 0;
    this.options.logger.info('log lines left out', {kind, leftOut});
  }

  private getOrCreateState(kind: string): KindState {
    let state = this.kinds.get(kind);
    if (!state) {
      state = {secondStartMs: performance.now(), lines: 0, leftOut: 0};
      this.kinds.set(kind, state);
    }
    return state;
  }
}
