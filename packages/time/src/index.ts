/** Timer helpers. */
export {elapsedSince, readClocks} from './lib/clock-reading.js';
export type {ClockReading} from './lib/clock-reading.js';
export {sleep} from './lib/sleep.js';
