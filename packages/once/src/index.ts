export type {
  DispatchOutcome,
  OnceError,
  OnceRegistry,
  OnceRequest,
  StoredAnswer,
} from './lib/once-registry.js';
export {TableOnceRegistry} from './lib/table-once-registry.js';
export type {TableOnceRegistryOptions} from './lib/table-once-registry.js';
