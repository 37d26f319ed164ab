export {runExperiment} from './lib/experiment-main.js';
export {runSpeedProcess} from './lib/speed/speed-process.js';
export {runCapacity} from './lib/capacity/capacity-main.js';
