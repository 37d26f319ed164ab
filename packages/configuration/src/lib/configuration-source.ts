/** What the other slices read of the configuration in force here. */
import type {Configuration} from './configuration-schema.js';

export interface VersionedConfiguration {
  version: number;
  configuration: Configuration;
}

export interface ConfigurationSource {
  /** The configuration in use, or undefined before the first one is known. */
  current(): VersionedConfiguration | undefined;
  /** Calls `listener` after each change, and at once if one is known. */
  onChange(listener: (current: VersionedConfiguration) => void): void;
}
