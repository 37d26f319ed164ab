/** FIFO queue of one team's requests that wait for borrowed tokens. */
import type {Admission} from './team-limiter.js';

interface WaitingRequest {
  deadlineAtMs: number;
  settle(admission: Admission): void;
}

export class WaitingRequests {
  private queue: WaitingRequest[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly onDeadline: () => void) {}

  /** `onDeadline` is called when the oldest request reaches its deadline. */
  static create(onDeadline: () => void): WaitingRequests {
    return new WaitingRequests(onDeadline);
  }

  get count(): number {
    return this.queue.length;
  }

  enqueue(waitMs: number): Promise<Admission> {
    const deadlineAtMs = performance.now() + waitMs;
    return new Promise(settle => {
      this.queue.push({deadlineAtMs, settle});
      this.scheduleTimer();
    });
  }

  /** Settles the oldest waiting request, if any. */
  settleOldest(admission: Admission): void {
    this.queue.shift()?.settle(admission);
    if (this.queue.length === 0) this.cancelTimer();
  }

  /** Settles every request whose deadline has passed with `refusal`. */
  refuseExpired(refusal: Admission): void {
    const nowMs = performance.now();
    while (this.queue.length > 0 && this.queue[0]!.deadlineAtMs <= nowMs) {
      this.queue.shift()!.settle(refusal);
    }
    this.cancelTimer();
    this.scheduleTimer();
  }

  private scheduleTimer(): void {
    if (this.timer || this.queue.length === 0) return;
    const waitMs = this.queue[0]!.deadlineAtMs - performance.now();
    this.timer = setTimeout(
      () => {
        this.timer = undefined;
        this.onDeadline();
      },
      Math.max(1, Math.ceil(waitMs)),
    );
  }

  private cancelTimer(): void {
    clearTimeout(this.timer);
    this.timer = undefined;
  }
}
