/**
 * Recognizes a request that comes again under another id: same service, team,
 * method, host, target and body. Only digests leave the process.
 *
 * The digest of the head is compared first, so that bodies are read only for
 * requests that may match. A streamed body is not kept, so only its declared
 * length takes part.
 */
import {createHash} from 'node:crypto';
import type {UpstreamRequest} from './upstream-request.js';

const DIGEST_HEX_LENGTH = 32;
const SEPARATOR = '\n';

export function digestHead(
  service: string,
  team: string | undefined,
  request: UpstreamRequest,
): string {
  const {method, target} = request;
  const host = findHeader(request, 'host')?.toLowerCase();
  const parts = [service, team ?? null, method, host ?? null, target];
  // In JSON no part can reach into the next one.
  return toDigest(JSON.stringify(parts));
}

/** Digest of the whole request, whose head has the digest `head`. */
export function digestRequest(head: string, request: UpstreamRequest): string {
  const {body} = request;
  switch (body.kind) {
    case 'none':
      return toDigest(head + SEPARATOR);
    case 'buffered':
      return toDigest(head + SEPARATOR, body.bytes);
    case 'stream': {
      const length = findHeader(request, 'content-length') ?? 'unknown';
      return toDigest(`${head}${SEPARATOR}stream of ${length}`);
    }
  }
}

function findHeader(
  {headers}: UpstreamRequest,
  name: string,
): string | undefined {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index]!.toLowerCase() === name) return headers[index + 1];
  }
  return undefined;
}

function toDigest(...parts: (string | Buffer)[]): string {
  const hash = createHash('sha256');
  for (const part of parts) hash.update(part);
  return hash.digest('hex').slice(0, DIGEST_HEX_LENGTH);
}
