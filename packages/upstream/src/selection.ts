/** Selection of servers without connections, for simulations. */
export {CrashGuard} from './lib/crash-guard.js';
export type {CrashGuardContext} from './lib/crash-guard.js';
export {ServerChooser} from './lib/server-chooser.js';
export type {Choice} from './lib/server-chooser.js';
export {ServerPicker} from './lib/server-picker.js';
export {ServerRecord} from './lib/server-record.js';
export {ServiceState} from './lib/service-state.js';
