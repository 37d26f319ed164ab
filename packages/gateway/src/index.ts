/** Request handling and lifecycle of one gateway process. */
export {GatewayProcess} from './lib/gateway-process.js';
export type {GatewaySources} from './lib/gateway-process.js';
export {parseGatewaySettings} from './lib/gateway-settings.js';
export type {GatewaySettings} from './lib/gateway-settings.js';
export {SettingsReload} from './lib/settings-reload.js';
export type {SettingsReloadOptions} from './lib/settings-reload.js';
