/** Open-loop Poisson arrivals of all teams, uneven across the instances. */
import type {Configuration} from '@fireflytrack/configuration';
import {samplePoisson, createWeightedSampler} from '../random.js';
import type {Random} from '../random.js';
import {INSTANCES} from './deployment.js';
import {TEAM_DEMAND_PER_SECOND} from './fleet-configuration.js';

export interface Arrival {
  teamName: string;
  service: string;
  instance: number;
}

type IndexSampler = (random: Random) => number;

export class Arrivals {
  private readonly demandPerSecond = new Map<string, number>();
  private readonly skewedSamplers = new Map<string, IndexSampler>();
  private readonly services: string[];
  private readonly sampleInstance: IndexSampler;

  private constructor(
    configuration: Configuration,
    private readonly random: Random,
  ) {
    this.services = [...configuration.services.keys()];
    for (const [name, demand] of Object.entries(TEAM_DEMAND_PER_SECOND)) {
      this.demandPerSecond.set(name, demand);
    }
    // The load balancer sends some instances up to three times as much traffic
    // as others.
    const weights = Array.from({length: INSTANCES}, () => 0.5 + random());
    this.sampleInstance = createWeightedSampler(weights);
  }

  static create(configuration: Configuration, random: Random): Arrivals {
    return new Arrivals(configuration, random);
  }

  /** Sets a team's requests per second from now on. */
  setDemand(teamName: string, demandPerSecond: number): void {
    this.demandPerSecond.set(teamName, demandPerSecond);
  }

  /** Sends `fraction` of a team's requests to one instance from now on. */
  skewToInstance(teamName: string, instance: number, fraction: number): void {
    const otherWeight = (1 - fraction) / (INSTANCES - 1);
    const weights = Array.from({length: INSTANCES}, (_, index) =>
      index === instance ? fraction : otherWeight,
    );
    this.skewedSamplers.set(teamName, createWeightedSampler(weights));
  }

  sampleMillisecond(): Arrival[] {
    const arrivals: Arrival[] = [];
    const {random} = this;
    for (const [teamName, demand] of this.demandPerSecond) {
      const sampleInstance =
        this.skewedSamplers.get(teamName) ?? this.sampleInstance;
      for (
        let remaining = samplePoisson(random, demand / 1000);
        remaining > 0;
        remaining--
      ) {
        const service =
          this.services[Math.floor(random() * this.services.length)]!;
        arrivals.push({teamName, service, instance: sampleInstance(random)});
      }
    }
    return arrivals;
  }
}
