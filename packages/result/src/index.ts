export {Ok, Err} from './lib/result.js';
export type {Result} from './lib/result.js';
