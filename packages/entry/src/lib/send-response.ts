/** Sends a complete, buffered backend response to the caller. */
import type {StoredAnswer} from '@fireflytrack/once';
import type {ServerResponse} from 'node:http';
import type {Call} from './call.js';

// For larger bodies, the copy costs more than a second buffer in the write.
const MAX_SINGLE_WRITE_BYTES = 4096;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

export function sendResponse(call: Call, backendResponse: StoredAnswer): void {
  const {request, response, requestId} = call;
  if (response.destroyed) return;
  const headers: Record<string, string | number> = {...backendResponse.headers};
  headers['x-request-id'] = requestId;
  const isHead = request.method === 'HEAD';
  if (backendResponse.status === NO_CONTENT) delete headers['content-length'];
  else if (!isHead && backendResponse.status !== NOT_MODIFIED) {
    headers['content-length'] = backendResponse.body.length;
  }
  response.writeHead(backendResponse.status, headers);
  if (isHead) response.end();
  else endWithBody(response, backendResponse.body);
}

/**
 * Ends the response in a single write if the body is small. Node.js writes head
 * and body together only for a string body; latin1 preserves every byte.
 */
function endWithBody(response: ServerResponse, body: Uint8Array): void {
  if (body.length > MAX_SINGLE_WRITE_BYTES) {
    response.end(body);
    return;
  }
  const {buffer, byteOffset, length} = body;
  const text = Buffer.from(buffer, byteOffset, length).toString('latin1');
  response.end(text, 'latin1');
}
