/** A simulated backend server that goes down under some requests and returns. */
import type {Random} from './health-random.js';

type Result = 'answered' | 'lost';

const WORK_MS = 260;
const CRASH_AFTER_MS = 60;
const MIN_DOWN_MS = 1500;
const DOWN_SPREAD_MS = 2500;

export class CrashServer {
  isUp = true;
  /** Identifies the run; it differs after each return. */
  startedAtMs = 1;
  private readonly running = new Set<(result: Result) => void>();

  private constructor(
    readonly serverId: string,
    private readonly random: Random,
  ) {}

  static create(serverId: string, random: Random): CrashServer {
    return new CrashServer(serverId, random);
  }

  /** Runs a request; `onCrash` is called if the server goes down under it. */
  run(crashes: boolean, onCrash: () => void): Promise<Result> {
    return new Promise(resolve => {
      const end = (result: Result) => {
        if (!this.running.delete(end)) return;
        resolve(result);
      };
      this.running.add(end);
      const share = 0.5 + this.random();
      if (!crashes) {
        setTimeout(() => end('answered'), WORK_MS * share);
        return;
      }
      setTimeout(() => {
        if (!this.running.has(end)) return;
        onCrash();
        this.crash();
      }, CRASH_AFTER_MS * share);
    });
  }

  /** Goes down with all requests that it runs, and returns as a new run. */
  crash(): void {
    if (!this.isUp) return;
    this.isUp = false;
    for (const end of [...this.running]) end('lost');
    setTimeout(
      () => {
        this.isUp = true;
        this.startedAtMs += 1;
      },
      MIN_DOWN_MS + DOWN_SPREAD_MS * this.random(),
    );
  }
}
