export {main} from './lib/main.js';
