export {RequestPath} from './lib/request-path.js';
export type {RequestPathOptions} from './lib/request-path.js';
export {EntryGateway} from './lib/entry-gateway.js';
export type {EntryGatewayOptions} from './lib/entry-gateway.js';
export {AdminApi} from './lib/admin-api.js';
export type {AdminApiOptions} from './lib/admin-api.js';
export {Forwarder} from './lib/forwarder.js';
export {REFUSALS} from './lib/refusal.js';
export type {RefusalCode} from './lib/refusal.js';
