/**
 * Decides by the policy whether a request of a caller may be handled: limits,
 * route, team and the freshness of the policy.
 */
import type {IncomingMessage} from 'node:http';
import type {PolicyTable, TeamPolicy, TrafficRoute} from '@fireflytrack/policy';
import type {HeaderNames} from '@fireflytrack/upstream';
import type {PolicyHolder} from './policy-holder.js';
import {DEFAULT_RETRY_AFTER_MS} from './rejection.js';
import type {Rejection} from './rejection.js';

export interface RequestAdmissionOptions {
  policies: PolicyHolder;
  headerNames: HeaderNames;
  /** Header that carries the team key. */
  keyHeader: string;
  /** Authentication scheme that precedes the key in its header. */
  keyScheme: string;
  /** Maximum age of the policy's confirmation for accepting a key. */
  keyFreshnessMs: number;
  /** Maximum age of the confirmation for denying an unknown route or key. */
  denialFreshnessMs: number;
}

/** A request that passed the checks of the policy. */
export interface AdmittedRequest {
  route: TrafficRoute;
  team: TeamPolicy | undefined;
  table: PolicyTable;
  deadlineAtMs: number;
}

export type Admission =
  | {ok: true; value: AdmittedRequest}
  | {ok: false; value: Rejection};

// Longest wait of a request for a confirmation of the policy. A read of the
// store normally takes about 20 ms.
const FRESHNESS_WAIT_MS = 400;

// An invalid part of the policy lasts until operators write the next one.
const INVALID_RETRY_AFTER_MS = 5000;

export class RequestAdmission {
  private constructor(private readonly options: RequestAdmissionOptions) {}

  static create(options: RequestAdmissionOptions): RequestAdmission {
    return new RequestAdmission(options);
  }

  /**
   * Checks a request that came at `startedAtMs`. May wait for a confirmation of
   * the policy.
   */
  async admit(
    request: IncomingMessage,
    startedAtMs: number,
  ): Promise<Admission> {
    const {policies, denialFreshnessMs} = this.options;
    const first = this.matchPolicy(request, startedAtMs);
    if (first.ok) return this.requireFreshPolicy(request, startedAtMs, first);
    const {code} = first.value;
    if (code !== 'route-unknown' && code !== 'key-unknown') return first;
    // A policy change that allows the request may still be in transit.
    if (!(await policies.ensureFresh(denialFreshnessMs, FRESHNESS_WAIT_MS))) {
      return rejectAsNotFresh(
        'the request is not known here, and the policy is old',
      );
    }
    return this.matchPolicy(request, startedAtMs);
  }

  /**
   * Checks an admitted request again that has waited since, as for its body: its
   * key may be withdrawn, or not confirmed any more.
   */
  async confirm(
    request: IncomingMessage,
    startedAtMs: number,
    admitted: AdmittedRequest,
  ): Promise<Admission> {
    const {policies, keyFreshnessMs} = this.options;
    const isFresh = !admitted.team || policies.lease.ageMs() <= keyFreshnessMs;
    if (isFresh && policies.current() === admitted.table) {
      return {ok: true, value: admitted};
    }
    return this.admit(request, startedAtMs);
  }

  /** Accepts a key only while the policy's confirmation is fresh enough. */
  private async requireFreshPolicy(
    request: IncomingMessage,
    startedAtMs: number,
    admission: Admission,
  ): Promise<Admission> {
    const {policies, keyFreshnessMs} = this.options;
    if (!admission.ok || !admission.value.team) return admission;
    if (policies.lease.ageMs() <= keyFreshnessMs) return admission;
    if (await policies.ensureFresh(keyFreshnessMs, FRESHNESS_WAIT_MS)) {
      return this.matchPolicy(request, startedAtMs);
    }
    return rejectAsNotFresh('the policy could not be confirmed in time');
  }

  private matchPolicy(
    request: IncomingMessage,
    startedAtMs: number,
  ): Admission {
    const {headerNames} = this.options;
    const table = this.options.policies.current();
    if (!table) return rejectAsNotFresh('no policy is known yet');
    const {maxHeaderBytes} = table.policy.callerLimits;
    if (countHeaderBytes(request) > maxHeaderBytes) {
      return rejectAs('headers-too-large', 'headers over the limit');
    }
    const url = request.url ?? '';
    if (!url.startsWith('/')) return rejectAs('bad-request', 'no path');
    if (request.headers.host === undefined) {
      return rejectAs('bad-request', 'the request has no host');
    }
    if (request.headers[headerNames.requestId] === undefined) {
      return rejectAs('bad-request', 'the request has no id');
    }
    const match = table.matchRoute(parseHost(request), stripQuery(url));
    if (!match) return rejectAs('route-unknown', 'no route matches');
    if (match.kind === 'refused') {
      return rejectInvalid(`the route ${match.route.name} is not valid`);
    }
    const {route} = match;
    const key = this.readKey(request);
    if (key !== undefined && !route.open && table.isRefusedKey(key)) {
      return rejectInvalid('the team of the key is not valid');
    }
    const team = key === undefined ? undefined : table.findTeamByKey(key);
    if (!team && table.needsKeys && !route.open) {
      return rejectAs('key-unknown', 'no team holds the key');
    }
    const requestedMs = Number(request.headers[headerNames.deadlineMs]);
    const waitMs =
      requestedMs > 0
        ? Math.min(requestedMs, route.timeoutMs)
        : route.timeoutMs;
    const deadlineAtMs = startedAtMs + waitMs;
    const value = {
      route,
      team: route.open ? undefined : team,
      table,
      deadlineAtMs,
    };
    return {ok: true, value};
  }

  private readKey(request: IncomingMessage): string | undefined {
    const {keyHeader, keyScheme} = this.options;
    const value = request.headers[keyHeader];
    if (typeof value !== 'string') return undefined;
    const prefix = `${keyScheme} `;
    if (!value.toLowerCase().startsWith(prefix.toLowerCase())) return undefined;
    return value.slice(prefix.length).trim();
  }
}

function rejectAs(code: Rejection['code'], reason: string): Admission {
  return {ok: false, value: {code, reason}};
}

/** Refuses what an invalid part of the policy would have decided. */
function rejectInvalid(reason: string): Admission {
  const retryAfterMs = INVALID_RETRY_AFTER_MS;
  return {ok: false, value: {code: 'not-run', reason, retryAfterMs}};
}

function rejectAsNotFresh(reason: string): Admission {
  const retryAfterMs = DEFAULT_RETRY_AFTER_MS;
  return {ok: false, value: {code: 'not-fresh', reason, retryAfterMs}};
}

function parseHost(request: IncomingMessage): string {
  const host = request.headers.host ?? '';
  return host.replace(/:\d+$/, '').toLowerCase();
}

function stripQuery(url: string): string {
  const end = url.search(/[?#]/);
  return end < 0 ? url : url.slice(0, end);
}

function countHeaderBytes(request: IncomingMessage): number {
  // Two bytes each for the colon with its space and for the line end.
  const LINE_OVERHEAD_BYTES = 4;
  let bytes = (request.url ?? '').length;
  for (const text of request.rawHeaders) bytes += text.length;
  return bytes + (request.rawHeaders.length / 2) * LINE_OVERHEAD_BYTES;
}
