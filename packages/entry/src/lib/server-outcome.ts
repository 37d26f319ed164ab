/** Classifies an attempt's result for the health evidence of its server. */
import type {ServerOutcome} from '@fireflytrack/health';
import type {AttemptResult} from './attempt-result.js';

export function toServerOutcomeKind(
  result: AttemptResult,
): ServerOutcome['kind'] {
  switch (result.kind) {
    case 'buffered':
      return classifyStatus(result.response.status);
    case 'streamed':
      return classifyStatus(result.status);
    case 'broken':
      return result.cancelled ? 'cancelled' : 'fault';
    case 'declined':
      return result.draining ? 'draining' : 'shed';
    case 'failed':
      if (result.cause === 'cancelled') return 'cancelled';
      if (result.cause === 'caller') return 'cancelled';
      return result.cause === 'invalid' ? 'invalid' : 'fault';
  }
}

function classifyStatus(status: number): ServerOutcome['kind'] {
  if (status >= 500) return 'fault';
  return status >= 400 ? 'caller-error' : 'ok';
}
