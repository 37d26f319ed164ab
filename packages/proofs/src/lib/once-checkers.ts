/** Checkers of at-most-once execution; each returns what it found wrong. */
import type {History, HistoryOperation} from './history.js';
import type {Execution} from './once-backend.js';
import type {CallInput, CallOutput} from './once-fleet.js';

/** Returns one line for each violation; none when the property holds. */
export type OnceChecker = (history: History) => string[];

/** Refusals that state that no server ran the request because of the call. */
const NOT_RUN_KINDS = new Set([
  'not-run',
  'store-unavailable',
  'key-reused',
  'key-expired',
]);

/** P8: each key is executed at most once. */
export const checkAtMostOnce: OnceChecker = history => {
  const found: string[] = [];
  const callByKey = new Map<string, string>();
  for (const {key, callId} of executionsOf(history)) {
    const first = callByKey.get(key);
    if (first) found.push(`${key} ran for ${first} and again for ${callId}`);
    callByKey.set(key, callId);
  }
  return found;
};

/** P7: no execution, early or late, belongs to a call refused "not run". */
export const checkNotRun: OnceChecker = history => {
  const executed = new Set(executionsOf(history).map(one => one.callId));
  return callsOf(history)
    .filter(call => NOT_RUN_KINDS.has(outputOf(call)?.kind ?? ''))
    .filter(call => executed.has(call.operationId))
    .map(call => `${call.operationId} ran and got ${outputOf(call)?.kind}`);
};

/** P6: an answer is the whole answer of the call's own key and request. */
export const checkOwnAnswer: OnceChecker = history => {
  const executions = executionsOf(history);
  return callsOf(history).flatMap(call => {
    const output = outputOf(call);
    const {key, digest} = call.input as CallInput;
    const own = executions.filter(
      one => one.key === key && one.digest === digest,
    );
    if (output?.kind === 'answer' && 'body' in output) {
      if (own.some(one => one.body === output.body)) return [];
      return [`${call.operationId} for ${key} got a foreign or cut answer`];
    }
    if (output?.kind === 'answer-gone' && own.length === 0) {
      return [`${call.operationId} for ${key} got answer-gone and nothing ran`];
    }
    return [];
  });
};

/** P10: only a crash, never a planned stop, cuts a call. */
export const checkNoCutByStop: OnceChecker = history => {
  const crashed = new Set(history.ofKind('crash').map(event => event.process));
  return callsOf(history)
    .filter(call => outputOf(call)?.kind === 'connection-lost')
    .filter(call => !crashed.has((call.input as CallInput).instanceId))
    .map(call => `${call.operationId} was cut by a planned stop`);
};

function executionsOf(history: History): Execution[] {
  return history.ofKind('execute').map(event => event.value as Execution);
}

function callsOf(history: History): HistoryOperation[] {
  return history.operations.filter(operation => operation.kind === 'call');
}

/** Undefined while the call has not returned. */
function outputOf(call: HistoryOperation): CallOutput | undefined {
  return call.output as CallOutput | undefined;
}
