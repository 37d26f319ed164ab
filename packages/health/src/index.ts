export type {
  NoServerError,
  SelectOptions,
  Selection,
  ServerOutcome,
  ServerSelector,
} from './lib/server-selector.js';
export {RandomSelector} from './lib/random-selector.js';
