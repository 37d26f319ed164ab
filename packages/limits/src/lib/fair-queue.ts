/** The queues of all services at this instance, one fair queue per service. */
import {ServiceQueue} from './service-queue.js';
import type {SlotResult} from './service-queue.js';

export interface FairQueueOptions {
  /** Requests of the service that this instance may run at once. */
  slotsOf(serviceName: string): number;
  /** Relative share of a team while several wait; 1 for each by default. */
  weightOf?(teamName: string): number;
}

export class FairQueue {
  private readonly services = new Map<string, ServiceQueue>();

  private constructor(private readonly options: FairQueueOptions) {}

  static create(options: FairQueueOptions): FairQueue {
    return new FairQueue(options);
  }

  /**
   * Takes a slot of the service. Returns synchronously when a slot is free and
   * no request waits, or when the request cannot wait; otherwise by a promise
   * that is settled by `deadlineAtMs` of the monotonic clock.
   */
  enter(
    serviceName: string,
    teamName: string,
    deadlineAtMs: number,
  ): SlotResult | Promise<SlotResult> {
    return this.getOrCreateQueue(serviceName).enter(teamName, deadlineAtMs);
  }

  /** Serves waiting requests after the number of slots grew. */
  refresh(): void {
    for (const service of this.services.values()) service.dispatch();
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
