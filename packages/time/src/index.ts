/** Waiting on the clock of the runtime. */
export {sleep} from './lib/sleep.js';
