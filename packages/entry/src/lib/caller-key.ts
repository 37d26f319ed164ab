/**
 * Extracts the team key from a request and removes every occurrence of it from
 * the forwarded request.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {IncomingHttpHeaders} from 'node:http';

export interface CallerKeyError {
  code: 'key_missing' | 'key_ambiguous' | 'bad_request';
  message: string;
}

const KEY_QUERY_PARAMETER = 'api_key';
const BEARER_PATTERN = /^bearer\s+(\S+)$/i;

/** Finds the single team key in the headers or the query. */
export function findCallerKey(
  headers: IncomingHttpHeaders,
  query: URLSearchParams,
): Result<string, CallerKeyError> {
  const keys = new Set<string>(query.getAll(KEY_QUERY_PARAMETER));
  const bearer = BEARER_PATTERN.exec(headers.authorization ?? '');
  if (bearer) keys.add(bearer[1]!);
  const apiKey = headers['x-api-key'];
  if (typeof apiKey === 'string') keys.add(apiKey);
  if (keys.size === 0) {
    return Err({code: 'key_missing', message: 'a team key is required'});
  }
  if (keys.size > 1) {
    return Err({code: 'key_ambiguous', message: 'several team keys presented'});
  }
  return Ok([...keys][0]!);
}

// `authorization` and `x-api-key` are always removed, whatever their value.
// The others are hop-by-hop headers or are set by the proxy.
const REMOVED_HEADERS = new Set([
  'authorization',
  'x-api-key',
  'proxy-authorization',
  'x-team',
  'x-request-id',
  'x-deadline-ms',
  'host',
  'connection',
  'keep-alive',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
  'expect',
  'content-length',
]);

/** Headers for the backend server, without the key and hop-by-hop headers. */
export function headersWithoutKey(
  headers: IncomingHttpHeaders,
  key: string,
): Record<string, string> {
  const connectionHeaders = new Set(
    (headers.connection ?? '')
      .split(',')
      .map(name => name.trim().toLowerCase()),
  );
  const forwarded: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || REMOVED_HEADERS.has(name)) continue;
    if (connectionHeaders.has(name)) continue;
    const text = Array.isArray(value) ? value.join(', ') : value;
    if (!containsKey(text, key)) forwarded[name] = text;
  }
  return forwarded;
}

/** Path and query for the backend server, without the key. */
export function targetWithoutKey(
  path: string,
  query: URLSearchParams,
  key: string,
): Result<string, CallerKeyError> {
  if (containsKey(path, key)) {
    const message = 'the path must not contain a team key';
    return Err({code: 'bad_request', message});
  }
  if (query.size === 0) return Ok(path);
  const forwarded = new URLSearchParams();
  for (const [name, value] of query) {
    if (name === KEY_QUERY_PARAMETER) continue;
    if (!containsKey(name, key) && !containsKey(value, key)) {
      forwarded.append(name, value);
    }
  }
  return Ok(forwarded.size === 0 ? path : `${path}?${forwarded}`);
}

/** Whether `text` contains the key's secret part, plain or percent-encoded. */
export function containsKey(text: string, key: string): boolean {
  const secret = key.slice(key.lastIndexOf('_') + 1);
  return text.includes(secret) || decodeIfValid(text).includes(secret);
}

function decodeIfValid(text: string): string {
  if (!text.includes('%')) return text;
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
