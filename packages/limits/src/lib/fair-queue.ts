/**
 * Fair queues for the slots of all services at this instance, one per service.
 */
import {ServiceQueue} from './service-queue.js';
import type {SlotResult} from './service-queue.js';

export interface FairQueueOptions {
  /**
   * Number of the service's requests that this instance may run concurrently.
   */
  slotsOf(serviceName: string): number;
  /** Relative share of a team while several teams wait; 1 by default. */
  weightOf?(teamName: string): number;
}

export class FairQueue {
  private readonly services = new Map<string, ServiceQueue>();

  private constructor(private readonly options: FairQueueOptions) {}

  static create(options: FairQueueOptions): FairQueue {
    return new FairQueue(options);
  }

  /**
   * Acquires a slot of the service. Returns the result synchronously if a slot
   * is free and no request waits, or if the request may not wait. Otherwise
   * returns a promise that is settled by `deadlineAtMs` of the monotonic clock.
   */
  acquireSlot(
    serviceName: string,
    teamName: string,
    deadlineAtMs: number,
  ): SlotResult | Promise<SlotResult> {
    return this.getOrCreateQueue(serviceName).acquireSlot(
      teamName,
      deadlineAtMs,
    );
  }

  /** Assigns free slots to waiting requests; call when slots were added. */
  dispatchWaiting(): void {
    for (const service of this.services.values()) service.dispatchWaiting();
  }

  state(): Record<string, unknown> {
    const services: Record<string, unknown> = {};
    for (const [name, service] of this.services) {
      services[name] = service.state();
    }
    return services;
  }

  private getOrCreateQueue(serviceName: string): ServiceQueue {
    const known = this.services.get(serviceName);
    if (known) return known;
    const {slotsOf, weightOf} = this.options;
    const created = ServiceQueue.create(
      () => slotsOf(serviceName),
      weightOf ?? (() => 1),
    );
    this.services.set(serviceName, created);
    return created;
  }
}
