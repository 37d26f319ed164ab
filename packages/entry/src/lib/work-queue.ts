/** The queue for the limited slots of a service's backend servers. */
import {Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';

export interface WorkSlot {
  release(): void;
}

export interface WorkQueueError {
  kind: 'queue-full' | 'deadline';
}

type EnterResult = Result<WorkSlot, WorkQueueError>;

export interface WorkQueue {
  /** Waits for a slot; synchronous if one is free and no request is waiting. */
  acquireSlot(
    serviceName: string,
    teamName: string,
    deadlineAtMs: number,
  ): EnterResult | Promise<EnterResult>;
}

/** Admits every request immediately: the naive variant, for comparisons. */
export class UnboundedQueue implements WorkQueue {
  static create(): UnboundedQueue {
    return new UnboundedQueue();
  }

  acquireSlot(): EnterResult {
    return Ok({release() {}});
  }
}
