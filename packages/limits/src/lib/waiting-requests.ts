/** Requests of one team that wait for borrowed tokens, in order of arrival. */
import type {Admission} from './team-limiter.js';

interface WaitingRequest {
  deadlineAtMs: number;
  settle(admission: Admission): void;
}

export class WaitingRequests {
  private queue: WaitingRequest[] = [];
  private timer: NodeJS.Timeout | undefined;

  private constructor(private readonly onDeadline: () => void) {}

  /** `onDeadline` is called when the oldest request has waited its time. */
  static create(onDeadline: () => void): WaitingRequests {
    return new WaitingRequests(onDeadline);
  }

  get count(): number {
    return this.queue.length;
  }

  add(waitMs: number): Promise<Admission> {
    const deadlineAtMs = performance.now() + waitMs;
    return new Promise(settle => {
      this.queue.push({deadlineAtMs, settle});
      this.schedule();
    });
  }

  /** Settles the oldest request. */
  settleOldest(admission: Admission): void {
    this.queue.shift()?.settle(admission);
    if (this.queue.length === 0) this.cancelTimer();
  }

  /** Refuses every request whose deadline passed. */
  refuseOverdue(refusal: Admission): void {
    const nowMs = performance.now();
    while (this.queue.length > 0 && this.queue[0]!.deadlineAtMs <= nowMs) {
      this.queue.shift()!.settle(refusal);
    }
    this.cancelTimer();
    this.schedule();
  }

  private schedule(): void {
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
