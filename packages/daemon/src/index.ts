export {main} from './lib/main.js';
export {Daemon} from './lib/daemon.js';
export {parseSettings} from './lib/settings.js';
export type {Settings} from './lib/settings.js';
