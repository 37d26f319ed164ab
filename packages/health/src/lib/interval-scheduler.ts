/** Schedules periodic work; proofs replace it to pause one instance. */

export interface Pacer {
  /** Runs `action` about every `intervalMs`; the returned function stops it. */
  every(intervalMs: number, action: () => void): () => void;
}

export class TimerPacer implements Pacer {
  static create(): TimerPacer {
    return new TimerPacer();
  }

  every(intervalMs: number, action: () => void): () => void {
    const timer = setInterval(action, intervalMs);
    return () => clearInterval(timer);
  }
}
