/**
 * Extracts the team key from a request and removes every trace of it from what
 * is forwarded.
 */
import {Err, Ok} from '@fireflytrack/result';
import type {Result} from '@fireflytrack/result';
import type {IncomingHttpHeaders} from 'node:http';

export interface CallerKeyError {
  code: 'key_missing' | 'key_ambiguous' | 'bad_request';
  message: string;
}

const KEY_PARAMETER = 'api_key';
const BEARER = /^bearer\s+(\S+)$/i;

/** Finds the single team key in the headers or the query. */
export function findCallerKey(
  headers: IncomingHttpHeaders,
  query: URLSearchParams,
): Result<string, CallerKeyError> {
  const keys = new Set<string>(query.getAll(KEY_PARAMETER));
  const bearer = BEARER.exec(headers.authorization ?? '');
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
  const perHop = new Set(
    (headers.connection ?? '')
      .split(',')
      .map(name => name.trim().toLowerCase()),
  );
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || REMOVED_HEADERS.has(name)) continue;
    if (perHop.has(name)) continue;
    const text = Array.isArray(value) ? value.join(', ') : value;
    if (!containsKey(text, key)) kept[name] = text;
  }
  return kept;
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
  const kept = new URLSearchParams();
  for (const [name, value] of query) {
    if (name === KEY_PARAMETER) continue;
    if (!containsKey(name, key) && !containsKey(value, key)) {
      kept.append(name, value);
    }
  }
  return Ok(kept.size === 0 ? path : `${path}?${kept}`);
}

/** Also detects the key percent-encoded and its secret part alone. */
export function containsKey(text: string, key: string): boolean {
  const secret = key.slice(key.lastIndexOf('_') + 1);
  return text.includes(secret) || safeDecode(text).includes(secret);
}

function safeDecode(text: string): string {
  if (!text.includes('%')) return text;
  try {
    return decodeURIComponent(text);
  } catch {
    return text;
  }
}
