export type {PlatformError} from './lib/platform-error.js';
export {platformError} from './lib/platform-error.js';
export type {
  TableOperation,
  TableOperationResult,
  TableRow,
  TableService,
  BatchOptions,
} from './lib/table-service.js';
export {tableOperationSchema, tableRowSchema} from './lib/table-service.js';
export type {ObjectStore} from './lib/object-store.js';
export type {InstanceList, ListedInstance} from './lib/instance-list.js';
export {listedInstanceSchema} from './lib/instance-list.js';
export {HttpTableService} from './lib/http-table-service.js';
export {HttpObjectStore} from './lib/http-object-store.js';
export {HttpInstanceList} from './lib/http-instance-list.js';
export {HttpPlatformClient} from './lib/http-platform-client.js';
export type {HttpPlatformOptions} from './lib/http-platform-client.js';
export {MemoryTable} from './lib/memory-table.js';
export {MemoryObjectStore} from './lib/memory-object-store.js';
export {MemoryInstanceList} from './lib/memory-instance-list.js';
