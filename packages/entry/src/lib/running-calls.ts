/**
 * Running calls by team key, so that they can be cancelled when a key is
 * withdrawn or at the time limit of a planned shutdown.
 */

/** Cancels a call; the caller of a sent request receives `outcome_unknown`. */
export type CancelCall = () => void;

// Grace period for running calls after this instance learns that their key was
// withdrawn.
export const WITHDRAWN_KEY_GRACE_MS = 3000;

export class RunningCalls {
  private readonly callsByKey = new Map<string, Set<CancelCall>>();
  private callCount = 0;

  static create(): RunningCalls {
    return new RunningCalls();
  }

  get size(): number {
    return this.callCount;
  }

  /** Adds a call and returns the function that removes it. */
  add(keyId: string, cancel: CancelCall): () => void {
    let calls = this.callsByKey.get(keyId);
    if (!calls) {
      calls = new Set();
      this.callsByKey.set(keyId, calls);
    }
    const keyCalls = calls;
    keyCalls.add(cancel);
    this.callCount += 1;
    return () => {
      if (!keyCalls.delete(cancel)) return;
      this.callCount -= 1;
      if (keyCalls.size === 0 && this.callsByKey.get(keyId) === keyCalls) {
        this.callsByKey.delete(keyId);
      }
    };
  }

  /** Cancels the calls of a key that are still running after the grace period. */
  cancelAfterWithdrawal(keyId: string): void {
    setTimeout(() => this.cancelCalls(keyId), WITHDRAWN_KEY_GRACE_MS).unref();
  }

  cancelAll(): void {
    for (const keyId of [...this.callsByKey.keys()]) this.cancelCalls(keyId);
  }

  private cancelCalls(keyId: string): void {
    for (const cancel of [...(this.callsByKey.get(keyId) ?? [])]) cancel();
  }
}
