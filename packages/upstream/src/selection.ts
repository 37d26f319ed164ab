/** Selection of servers without connections, for simulations. */
export {ServerPicker} from './lib/server-picker.js';
export {ServerRecord} from './lib/server-record.js';
export {ServiceState} from './lib/service-state.js';
