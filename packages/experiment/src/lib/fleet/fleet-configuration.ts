/** The configuration of the scenarios, after section 1.3 of the design page. */
import type {
  BackendServer,
  Configuration,
  ConfigurationSource,
  Service,
  Team,
  VersionedConfiguration,
} from '@fireflytrack/configuration';
import {
  CAPACITY_FLOOR,
  CONNECTIONS_PER_SERVER,
  INSTANCES,
  SERVERS_PER_SERVICE,
  zoneForIndex,
} from './deployment.js';
import type {Deployment} from './deployment.js';

/** Requests per second of each team; two of the eight teams are large. */
export const TEAM_DEMAND_PER_SECOND: Readonly<Record<string, number>> = {
  'team-large-1': 700,
  'team-large-2': 500,
  'team-3': 200,
  'team-4': 200,
  'team-5': 150,
  'team-6': 100,
  'team-7': 100,
  'team-8': 50,
};

// A team's demand leaves a fifth of its rate unused.
const RATE_TO_DEMAND_RATIO = 1.25;
const FIRST_PORT = 9000;

/** A configuration source whose configuration never changes. */
export class FixedConfiguration implements ConfigurationSource {
  private constructor(private readonly versioned: VersionedConfiguration) {}

  static create(configuration: Configuration): FixedConfiguration {
    return new FixedConfiguration({version: 1, configuration});
  }

  current(): VersionedConfiguration {
    return this.versioned;
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    listener(this.versioned);
  }
}

export function buildConfiguration(deployment: Deployment): Configuration {
  const services = deployment.services.map(
    (name, index) => [name, buildService(deployment, name, index)] as const,
  );
  const teams = Object.entries(TEAM_DEMAND_PER_SECOND).map(
    ([name, demand]) => [name, buildTeam(name, demand)] as const,
  );
  return {
    schemaVersion: 1,
    name: deployment.name,
    maxInstances: INSTANCES,
    services: new Map(services),
    routes: [],
    teams: new Map(teams),
  };
}

function buildTeam(name: string, demandPerSecond: number): Team {
  const ratePerSecond = demandPerSecond * RATE_TO_DEMAND_RATIO;
  // The burst holds one second's worth of tokens.
  return {name, ratePerSecond, burstTokens: ratePerSecond};
}

function buildService(
  deployment: Deployment,
  name: string,
  serviceIndex: number,
): Service {
  const servers = Array.from({length: SERVERS_PER_SERVICE}, (_, index) =>
    buildServer(deployment, serviceIndex, index),
  );
  return {
    name,
    servers,
    dependsOn: [],
    slotsPerServer: deployment.slotsPerServer,
    connectionsPerServer: CONNECTIONS_PER_SERVER,
    capacityFloor: CAPACITY_FLOOR,
  };
}

function buildServer(
  deployment: Deployment,
  serviceIndex: number,
  index: number,
): BackendServer {
  const host = `10.${serviceIndex}.0.${index + 1}`;
  const port = FIRST_PORT + serviceIndex;
  const {availabilityZone} = zoneForIndex(deployment, index);
  return {serverId: `${host}:${port}`, host, port, availabilityZone};
}
