/** Schedules periodic work; proofs replace it to pause one instance. */

export interface IntervalScheduler {
  /** Runs `action` about every `intervalMs`; the returned function stops it. */
  every(intervalMs: number, action: () => void): () => void;
}

export class TimerIntervalScheduler implements IntervalScheduler {
  static create(): TimerIntervalScheduler {
    return new TimerIntervalScheduler();
  }

  every(intervalMs: number, action: () => void): () => void {
    const timer = setInterval(action, intervalMs);
    return () => clearInterval(timer);
  }
}
