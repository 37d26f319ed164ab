/** A configuration that a simulated fleet changes by hand. */
import type {
  Configuration,
  ConfigurationSource,
  Service,
  VersionedConfiguration,
} from '@fireflytrack/configuration';

export class FixedSource implements ConfigurationSource {
  private readonly listeners: ((current: VersionedConfiguration) => void)[] =
    [];
  private versioned: VersionedConfiguration;

  private constructor(
    service: Service,
    private readonly maxInstances: number,
  ) {
    this.versioned = {version: 1, configuration: this.configure(service)};
  }

  static create(service: Service, maxInstances: number): FixedSource {
    return new FixedSource(service, maxInstances);
  }

  current(): VersionedConfiguration {
    return this.versioned;
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    this.listeners.push(listener);
    listener(this.versioned);
  }

  apply(service: Service): void {
    const version = this.versioned.version + 1;
    this.versioned = {version, configuration: this.configure(service)};
    for (const listener of this.listeners) listener(this.versioned);
  }

  private configure(service: Service): Configuration {
    return {
      schemaVersion: 1,
      name: 'health-fleet',
      maxInstances: this.maxInstances,
      services: new Map([[service.name, service]]),
      routes: [],
      teams: new Map(),
    };
  }
}
