export {runExperiment} from './lib/experiment-main.js';
export {runSpeedProcess} from './lib/speed/speed-process.js';
