/** Headers of a backend server's response that are forwarded to the caller. */
import type {IncomingHttpHeaders} from 'node:http';

const HOP_BY_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

export function toCallerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || HOP_BY_HOP_HEADERS.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return kept;
}
