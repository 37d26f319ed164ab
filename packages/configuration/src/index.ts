export {
  configurationSchema,
  routeSchema,
  serviceSchema,
  teamSchema,
  backendServerSchema,
} from './lib/configuration-schema.js';
export type {
  BackendServer,
  Configuration,
  Route,
  Service,
  Team,
} from './lib/configuration-schema.js';
export type {TextError} from './lib/text-error.js';
export {formatTextError} from './lib/text-error.js';
export {parseConfigurationText} from './lib/configuration-text.js';
export {parseIni} from './lib/ini-document.js';
export type {IniDocument, IniSection} from './lib/ini-document.js';
export type {
  ConfigurationSource,
  VersionedConfiguration,
} from './lib/configuration-source.js';
export type {KeyError, KeyHolder, KeyStore} from './lib/key-store.js';
export {createTeamKey, hashSecret, parseTeamKey} from './lib/team-key.js';
export type {TeamKey} from './lib/team-key.js';
export {PollingConfiguration} from './lib/polling-configuration.js';
export {ConfigurationRepository} from './lib/configuration-repository.js';
export type {ConfigurationError} from './lib/configuration-error.js';
