export {History} from './lib/history.js';
export type {HistoryEvent, HistoryOperation} from './lib/history.js';
export {ciSeeds, runSeeds} from './lib/seeds.js';
export type {SeededRun} from './lib/seeds.js';
export {ProcessRun} from './lib/process-run.js';
export type {CallAnswer, ProcessRunOptions} from './lib/process-run.js';
