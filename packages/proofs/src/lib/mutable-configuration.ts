/** A configuration source for tests that can replace its teams. */
import type {
  Configuration,
  ConfigurationSource,
  VersionedConfiguration,
} from '@fireflytrack/configuration';

export interface TeamLimits {
  name: string;
  ratePerSecond: number;
  burstTokens: number;
}

type Listener = (current: VersionedConfiguration) => void;

export class MutableConfiguration implements ConfigurationSource {
  private version = 0;
  private configuration: Configuration | undefined;
  private readonly listeners: Listener[] = [];

  static create(teams: readonly TeamLimits[]): MutableConfiguration {
    const source = new MutableConfiguration();
    source.setTeams(teams);
    return source;
  }

  /** Replaces the teams, increments the version and notifies the listeners. */
  setTeams(teams: readonly TeamLimits[]): void {
    this.version += 1;
    this.configuration = {
      schemaVersion: 1,
      name: 'proofs',
      maxInstances: 40,
      services: new Map(),
      routes: [],
      teams: new Map(teams.map(team => [team.name, team])),
    };
    const current = this.current();
    for (const listener of this.listeners) listener(current!);
  }

  current(): VersionedConfiguration | undefined {
    if (!this.configuration) return undefined;
    return {version: this.version, configuration: this.configuration};
  }

  /** Adds a listener and calls it at once with the current configuration. */
  onChange(listener: Listener): void {
    this.listeners.push(listener);
    const current = this.current();
    if (current) listener(current);
  }
}
