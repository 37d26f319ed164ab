/** Selection of a backend server for one attempt of a request. */
import type {Result} from '@fireflytrack/result';
import type {BackendServer} from '@fireflytrack/configuration';

export interface SelectOptions {
  /** Ids of servers that were already tried for this request. */
  excluded: ReadonlySet<string>;
}

export interface ServerOutcome {
  /**
   * `ok`: a complete response that passed the checks. `caller-error`: a 4xx
   * response. `fault`: a 5xx response, a timeout or a broken connection.
   * `invalid`: a response that failed the checks. `shed` and `draining`: the
   * server refused and stated that nothing ran. `cancelled`: cancelled by this
   * instance, which is no evidence about the server.
   */
  kind:
    | 'ok'
    | 'caller-error'
    | 'fault'
    | 'invalid'
    | 'shed'
    | 'draining'
    | 'cancelled';
  latencyMs: number;
}

export interface Selection {
  server: BackendServer;
  /** Must be called exactly once, when the attempt ends. */
  settle(outcome: ServerOutcome): void;
}

export interface NoServerError {
  kind: 'no-server';
  retryAfterMs: number;
}

export interface ServerSelector {
  select(
    serviceName: string,
    options: SelectOptions,
  ): Result<Selection, NoServerError>;
}
