/** Sends a whole answer of a backend server to the caller. */
import type {StoredAnswer} from '@fireflytrack/once';
import type {ServerResponse} from 'node:http';
import type {Call} from './call.js';

// Above this, copying costs more than a second buffer in the write.
const ONE_WRITE_BYTES = 4096;
const NO_CONTENT = 204;
const NOT_MODIFIED = 304;

export function sendAnswer(call: Call, answer: StoredAnswer): void {
  const {request, response, requestId} = call;
  if (response.destroyed) return;
  const headers: Record<string, string | number> = {...answer.headers};
  headers['x-request-id'] = requestId;
  const isHead = request.method === 'HEAD';
  if (answer.status === NO_CONTENT) delete headers['content-length'];
  else if (!isHead && answer.status !== NOT_MODIFIED) {
    headers['content-length'] = answer.body.length;
  }
  response.writeHead(answer.status, headers);
  if (isHead) response.end();
  else endWith(response, answer.body);
}

/**
 * Node.js puts head and body into one write only when the body is a string;
 * latin1 keeps every byte.
 */
function endWith(response: ServerResponse, body: Uint8Array): void {
  if (body.length > ONE_WRITE_BYTES) {
    response.end(body);
    return;
  }
  const {buffer, byteOffset, length} = body;
  const text = Buffer.from(buffer, byteOffset, length).toString('latin1');
  response.end(text, 'latin1');
}
