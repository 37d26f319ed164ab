/** A health request to one server, outside ordinary traffic. */
import type {BackendServer} from '@fireflytrack/configuration';

/** The server's own word, or `failed` if it gave none in time. */
export type ProbeResult = 'up' | 'cold' | 'draining' | 'failed';

/** Never rejects. */
export type Probe = (server: BackendServer) => Promise<ProbeResult>;
