/**
 * One process of a simulated fleet. It can be frozen at any moment and either
 * resumes later with its state unchanged or is killed and never continues.
 */
import {AsyncLocalStorage} from 'node:async_hooks';

const currentProcess = new AsyncLocalStorage<SimulatedProcess>();

export class SimulatedProcess {
  private frozen = false;
  private dead = false;
  private deferredActions: Array<() => void> = [];

  private constructor(readonly name: string) {}

  static create(name: string): SimulatedProcess {
    return new SimulatedProcess(name);
  }

  /** The process that the current code belongs to, if any. */
  static current(): SimulatedProcess | undefined {
    return currentProcess.getStore();
  }

  /** Runs `action` outside any process, so that no freeze defers it. */
  static runOutside<T>(action: () => T): T {
    return currentProcess.exit(action);
  }

  get isFrozen(): boolean {
    return this.frozen;
  }

  get isDead(): boolean {
    return this.dead;
  }

  /** Runs `action` now, after the freeze, or never if the process is dead. */
  runOrDefer(action: () => void): void {
    if (this.dead) return;
    if (this.frozen) this.deferredActions.push(action);
    else currentProcess.run(this, action);
  }

  /**
   * Settles with the outcome of `outside`, deferred while this process is
   * frozen; never settles once it is dead.
   */
  deliver<T>(outside: Promise<T>): Promise<T> {
    return new Promise((resolve, reject) => {
      void outside.then(
        value => this.runOrDefer(() => resolve(value)),
        error => this.runOrDefer(() => reject(error)),
      );
    });
  }

  freeze(): void {
    this.frozen = true;
  }

  resume(): void {
    this.frozen = false;
    const actions = this.deferredActions;
    this.deferredActions = [];
    for (const action of actions) this.runOrDefer(action);
  }

  kill(): void {
    this.dead = true;
    this.deferredActions = [];
  }
}
