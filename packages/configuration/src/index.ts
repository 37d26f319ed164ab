export {
  SCHEMA_VERSION,
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
export {parseSettingsText} from './lib/settings-text.js';
export {parseIni} from './lib/ini-document.js';
export type {IniDocument, IniSection} from './lib/ini-document.js';
export type {
  ConfigurationSource,
  VersionedConfiguration,
} from './lib/configuration-source.js';
export type {KeyError, KeyHolder, KeyStore} from './lib/key-store.js';
export {createTeamKey, hashSecret, parseTeamKey} from './lib/team-key.js';
export type {TeamKey} from './lib/team-key.js';
export {ConfigurationDistribution} from './lib/configuration-distribution.js';
export type {
  DistributionOptions,
  DistributionStatus,
} from './lib/configuration-distribution.js';
export {ConfigurationChanges} from './lib/configuration-changes.js';
export type {
  IssueStatus,
  VersionStatus,
  WithdrawalStatus,
} from './lib/configuration-changes.js';
export type {ChangeState} from './lib/change-tracker.js';
export {ConfigurationRepository} from './lib/configuration-repository.js';
export type {ChangeRequest} from './lib/configuration-repository.js';
export {KeyRepository} from './lib/key-repository.js';
export type {IssuedKey} from './lib/key-repository.js';
export type {ConfigurationHead, KeySet} from './lib/stored-rows.js';
export type {ConfigurationError} from './lib/configuration-error.js';
