/** Timer helpers. */
export {sleep} from './lib/sleep.js';
