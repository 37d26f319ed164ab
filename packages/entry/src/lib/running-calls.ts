/**
 * The calls that run now, by team key, so that a withdrawn key or the bound of
 * a planned stop can end them.
 */

/** Ends a call; a request that was sent is answered `outcome_unknown`. */
export type EndCall = () => void;

// Time that a call may still run after its key was withdrawn, from when this
// instance learns of it.
export const WITHDRAWN_GRACE_MS = 3000;

export class RunningCalls {
  private readonly callsByKey = new Map<string, Set<EndCall>>();
  private running = 0;

  static create(): RunningCalls {
    return new RunningCalls();
  }

  get size(): number {
    return this.running;
  }

  /** Returns the function that takes the call off again. */
  add(keyId: string, end: EndCall): () => void {
    let calls = this.callsByKey.get(keyId);
    if (!calls) {
      calls = new Set();
      this.callsByKey.set(keyId, calls);
    }
    const keyCalls = calls;
    keyCalls.add(end);
    this.running += 1;
    return () => {
      if (!keyCalls.delete(end)) return;
      this.running -= 1;
      if (keyCalls.size === 0 && this.callsByKey.get(keyId) === keyCalls) {
        this.callsByKey.delete(keyId);
      }
    };
  }

  /** Ends the calls that still run under a key after the grace time. */
  endWithdrawn(keyId: string): void {
    setTimeout(() => this.endCalls(keyId), WITHDRAWN_GRACE_MS).unref();
  }

  endAll(): void {
    for (const keyId of [...this.callsByKey.keys()]) this.endCalls(keyId);
  }

  private endCalls(keyId: string): void {
    for (const end of [...(this.callsByKey.get(keyId) ?? [])]) end();
  }
}
