export {runExperiment} from './lib/experiment-main.js';
