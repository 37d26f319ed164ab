/** A configuration source with one service, which a simulated fleet can change. */
import type {
  Configuration,
  ConfigurationSource,
  Service,
  VersionedConfiguration,
} from '@fireflytrack/configuration';

export class MutableServiceSource implements ConfigurationSource {
  private readonly listeners: ((current: VersionedConfiguration) => void)[] =
    [];
  private versionedConfiguration: VersionedConfiguration;

  private constructor(
    service: Service,
    private readonly maxInstances: number,
  ) {
    this.versionedConfiguration = {
      version: 1,
      configuration: this.buildConfiguration(service),
    };
  }

  static create(service: Service, maxInstances: number): MutableServiceSource {
    return new MutableServiceSource(service, maxInstances);
  }

  current(): VersionedConfiguration {
    return this.versionedConfiguration;
  }

  onChange(listener: (current: VersionedConfiguration) => void): void {
    this.listeners.push(listener);
    listener(this.versionedConfiguration);
  }

  setService(service: Service): void {
    const version = this.versionedConfiguration.version + 1;
    this.versionedConfiguration = {
      version,
      configuration: this.buildConfiguration(service),
    };
    for (const listener of this.listeners)
      listener(this.versionedConfiguration);
  }

  private buildConfiguration(service: Service): Configuration {
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
