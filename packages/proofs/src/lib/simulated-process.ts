/**
 * One process of a simulated fleet: code that runs on its behalf can be frozen
 * at any moment and continues later with what it knew, or never.
 */
import {AsyncLocalStorage} from 'node:async_hooks';

const running = new AsyncLocalStorage<SimulatedProcess>();

export class SimulatedProcess {
  private frozen = false;
  private dead = false;
  private deferred: Array<() => void> = [];

  private constructor(readonly name: string) {}

  static create(name: string): SimulatedProcess {
    return new SimulatedProcess(name);
  }

  /** The process on whose behalf the current code runs. */
  static current(): SimulatedProcess | undefined {
    return running.getStore();
  }

  /** Runs `action` for no process, so that no freeze holds it back. */
  static outside<T>(action: () => T): T {
    return running.exit(action);
  }

  get isFrozen(): boolean {
    return this.frozen;
  }

  get isDead(): boolean {
    return this.dead;
  }

  /** Runs `action` now, after the freeze, or never if the process ended. */
  perform(action: () => void): void {
    if (this.dead) return;
    if (this.frozen) this.deferred.push(action);
    else running.run(this, action);
  }

  /** Delivers the outcome of `outside` work when this process runs. */
  receive<T>(outside: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      void outside.then(
        value => this.perform(() => resolve(value)),
        error => this.perform(() => reject(error)),
      );
    });
  }

  freeze(): void {
    this.frozen = true;
  }

  resume(): void {
    this.frozen = false;
    const actions = this.deferred;
    this.deferred = [];
    for (const action of actions) this.perform(action);
  }

  kill(): void {
    this.dead = true;
    this.deferred = [];
  }
}
