/** Headers of a backend server's answer as the caller gets them. */
import type {IncomingHttpHeaders} from 'node:http';

const PER_HOP_HEADERS = new Set([
  'connection',
  'keep-alive',
  'proxy-authenticate',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

export function callerHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string> {
  const kept: Record<string, string> = {};
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || PER_HOP_HEADERS.has(name)) continue;
    kept[name] = Array.isArray(value) ? value.join(', ') : value;
  }
  return kept;
}
