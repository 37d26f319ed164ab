/** A health request to one server, outside ordinary traffic. */
import type {BackendServer} from '@fireflytrack/configuration';

/** State reported by the server, or `failed` without a valid response in time. */
export type ProbeResult = 'up' | 'cold' | 'draining' | 'failed';

/** Never rejects. */
export type Probe = (server: BackendServer) => Promise<ProbeResult>;
