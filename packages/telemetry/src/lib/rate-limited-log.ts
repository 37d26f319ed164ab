/**
 * Log lines of frequent decisions, bounded by kind: a flood of one kind is cut
 * to a number of lines a second and told by a count of what was left out.
 */
import type {Logger} from './logger.js';

export interface BoundedLogOptions {
  logger: Logger;
  /** Lines of one kind written in one second. */
  linesPerSecond: number;
}

type Level = 'info' | 'warn' | 'error';

interface KindState {
  secondStartMs: number;
  lines: number;
  leftOut: number;
}

const SECOND_MS = 1000;

export class BoundedLog {
  private readonly kinds = new Map<string, KindState>();

  linesPerSecond: number;

  private constructor(private readonly options: BoundedLogOptions) {
    this.linesPerSecond = options.linesPerSecond;
  }

  static create(options: BoundedLogOptions): BoundedLog {
    return new BoundedLog(options);
  }

  write(level: Level, kind: string, fields: Record<string, unknown>): void {
    const state = this.stateOf(kind);
    const nowMs = performance.now();
    if (nowMs - state.secondStartMs >= SECOND_MS) {
      this.tellLeftOut(kind, state);
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

  /** Writes the counts of what was left out; for a stop. */
  flush(): void {
    for (const [kind, state] of this.kinds) this.tellLeftOut(kind, state);
  }

  private tellLeftOut(kind: string, state: KindState): void {
    if (state.leftOut === 0) return;
    const {leftOut} = state;
    state.leftOut = 0;
    this.options.logger.info('log lines left out', {kind, leftOut});
  }

  private stateOf(kind: string): KindState {
    let state = this.kinds.get(kind);
    if (!state) {
      state = {secondStartMs: performance.now(), lines: 0, leftOut: 0};
      this.kinds.set(kind, state);
    }
    return state;
  }
}
