/** A health check request to one server, independent of ordinary traffic. */
import type {BackendServer} from '@fireflytrack/configuration';

/** The state the server reported; `failed` without a valid response in time. */
export type ProbeResult = 'up' | 'cold' | 'draining' | 'failed';

/** Never rejects. */
export type Probe = (server: BackendServer) => Promise<ProbeResult>;
