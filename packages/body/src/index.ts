/** Bodies of messages in memory. */
export {BodyBuffer} from './lib/body-buffer.js';
export {BodyStream} from './lib/body-stream.js';
export type {BodySource} from './lib/body-stream.js';
