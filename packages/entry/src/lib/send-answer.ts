/** Sends a whole answer of a backend server to the caller. */
import type {StoredAnswer} from '@fireflytrack/once';
import type {Call} from './call.js';

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
  response.end(isHead ? undefined : answer.body);
}
