/** What an attempt's result tells about the backend server. */
import type {ServerOutcome} from '@fireflytrack/health';
import type {AttemptResult} from './attempt-result.js';

export function serverOutcomeKind(
  result: AttemptResult,
): ServerOutcome['kind'] {
  switch (result.kind) {
    case 'held':
      return statusOutcome(result.answer.status);
    case 'streamed':
      return statusOutcome(result.status);
    case 'broken':
      return result.byCaller ? 'cancelled' : 'fault';
    case 'declined':
      return result.draining ? 'draining' : 'shed';
    case 'failed':
      if (result.cause === 'cancelled') return 'cancelled';
      if (result.cause === 'caller') return 'cancelled';
      return result.cause === 'invalid' ? 'invalid' : 'fault';
  }
}

function statusOutcome(status: number): ServerOutcome['kind'] {
  if (status >= 500) return 'fault';
  return status >= 400 ? 'caller-error' : 'ok';
}
