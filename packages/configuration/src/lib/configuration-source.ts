/** Read access to the configuration in use at this instance. */
import type {Configuration} from './configuration-schema.js';

export interface VersionedConfiguration {
  version: number;
  configuration: Configuration;
}

export interface ConfigurationSource {
  /** The configuration in use, or undefined before the first one is known. */
  current(): VersionedConfiguration | undefined;
  /** Calls `listener` on each change, and immediately if one is known. */
  onChange(listener: (current: VersionedConfiguration) => void): void;
}
