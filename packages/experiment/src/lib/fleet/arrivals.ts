/** Open-loop Poisson arrivals of all teams, spread unevenly over instances. */
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
    // The balancer gives some instances up to three times what others get.
    const weights = Array.from({length: INSTANCES}, () => 0.5 + random());
    this.sampleInstance = createWeightedSampler(weights);
  }

  static create(configuration: Configuration, random: Random): Arrivals {
    return new Arrivals(configuration, random);
  }

  /** Makes a team send this many requests a second from now on. */
  setDemand(teamName: string, demandPerSecond: number): void {
    this.demandPerSecond.set(teamName, demandPerSecond);
  }

  /** Sends `fraction` of a team's requests to one instance from now on. */
  skewToInstance(teamName: string, instance: number, fraction: number): void {
    const rest = (1 - fraction) / (INSTANCES - 1);
    const weights = Array.from({length: INSTANCES}, (_, index) =>
      index === instance ? fraction : rest,
    );
    this.skewedSamplers.set(teamName, createWeightedSampler(weights));
  }

  sampleMillisecond(): Arrival[] {
    const arrivals: Arrival[] = [];
    const {random} = this;
    for (const [teamName, demand] of this.demandPerSecond) {
      const sampleInstance = this.skewedSamplers.get(teamName) ?? this.sampleInstance;
      for (let left = samplePoisson(random, demand / 1000); left > 0; left--) {
        const service =
          this.services[Math.floor(random() * this.services.length)]!;
        arrivals.push({teamName, service, instance: sampleInstance(random)});
      }
    }
    return arrivals;
  }
}
