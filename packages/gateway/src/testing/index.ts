/** Helpers for tests that start a gateway. */
export {freePort} from './free-port.js';
export {settingsText} from './settings-text.js';
export type {SettingsOverrides} from './settings-text.js';
